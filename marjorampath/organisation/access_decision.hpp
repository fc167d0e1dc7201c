#pragma once

#include <marjorampath/core/error_kind.hpp>
#include <marjorampath/organisation/access_key.hpp>

#include <cstdint>
#include <string_view>

namespace marjorampath
{

class organisation_directory;
struct organisation;

/// Whether a request may run on behalf of its caller.
enum class access_result : std::uint8_t
{
    /// The deployment has no organisations: every caller may send requests.
    unrestricted,
    /// The route is open to callers without a key.
    open,
    /// The key belongs to an organisation.
    authorised,
    /// There is no key.
    missing,
    /// The key belongs to no organisation.
    unknown,
    /// There are several keys, or one that is too long.
    malformed,
    /// The configuration may have changed since this host last confirmed it, so the key
    /// may have been revoked.
    unconfirmed
};

/// Returns the name used in logs and metrics.
std::string_view to_string(access_result value) noexcept;

/// Returns the error of a request that may not run; `none` if it may.
error_kind error_of(access_result value) noexcept;

/// The decision about one request.
struct access_decision
{
    access_result result = access_result::unrestricted;
    /// The caller's organisation if the request is authorised, else null. Owned by the
    /// directory.
    organisation const* caller = nullptr;
};

/// Decides whether a request may run. `directory` is null in a deployment without
/// organisations; `confirmed` tells whether the configuration is recent enough for a
/// revoked key to be known.
access_decision decide_access(organisation_directory const* directory,
                              access_key const& key, bool route_is_open,
                              bool confirmed) noexcept;

} // namespace marjorampath
