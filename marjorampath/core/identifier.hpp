#pragma once

#include <marjorampath/core/hash.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace marjorampath
{

/// A strongly typed 64-bit identifier, usually the hash of a name.
///
/// Identifiers of different kinds do not convert into each other. Zero means "none".
/// A sheet or settings file in which two names of the same kind have the same identifier
/// is rejected by validation.
template <class Tag>
class identifier
{
public:
    /// Creates the empty identifier.
    constexpr identifier() noexcept = default;

    /// Creates an identifier from its number, as received from another host.
    constexpr explicit identifier(std::uint64_t number) noexcept : number_(number) {}

    /// Creates the identifier of a name.
    static identifier of(std::string_view name) noexcept
    {
        return identifier(hash_bytes(name));
    }

    /// The number that is sent between hosts.
    [[nodiscard]] constexpr std::uint64_t number() const noexcept
    {
        return number_;
    }

    /// Whether this is not the empty identifier.
    constexpr explicit operator bool() const noexcept
    {
        return number_ != 0;
    }

    friend constexpr auto operator<=>(identifier const&, identifier const&) = default;

private:
    // Usually the hash of a name; zero for the empty identifier
    std::uint64_t number_ = 0;
};

/// A machine on which the system's own processes run.
using host_id = identifier<struct host_tag>;
/// An availability zone.
using zone_id = identifier<struct zone_tag>;
/// A region: a set of zones.
using region_id = identifier<struct region_tag>;
/// A model engine or a plain service instance.
using endpoint_id = identifier<struct endpoint_tag>;
/// A LoRA adapter, without its version.
using adapter_id = identifier<struct adapter_tag>;
/// One version of one adapter: the hash of `ADAPTER@VERSION`.
using adapter_version_id = identifier<struct adapter_version_tag>;
/// A kind of endpoint that the sheet describes.
using endpoint_kind_id = identifier<struct endpoint_kind_tag>;
/// A service of the sheet.
using service_id = identifier<struct service_tag>;
/// A team; its requests together get a fair share of the capacity.
using team_id = identifier<struct team_tag>;
/// A leased resource: a cell of engines or a single engine.
using resource_id = identifier<struct resource_tag>;
/// A caller's request, unique across hosts.
using request_id = identifier<struct request_tag>;
/// A stream of events, by the caller's attempt that received its first event.
using stream_id = identifier<struct stream_tag>;
/// The content of a request; the same for a request that is sent again.
using fingerprint_id = identifier<struct fingerprint_tag>;

} // namespace marjorampath

template <class Tag>
struct std::hash<marjorampath::identifier<Tag>>
{
    std::size_t operator()(marjorampath::identifier<Tag> const& id) const noexcept
    {
        return static_cast<std::size_t>(id.number());
    }
};
