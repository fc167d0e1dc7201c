#pragma once

#include <marjorampath/deployment/deployment.hpp>
#include <marjorampath/organisation/organisation_directory.hpp>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace marjorampath
{

/// Finds the route of a request and the organisation of its caller. Immutable; rebuilt
/// for each version of a deployment.
class route_table
{
public:
    /// Indexes a deployment's routes and keys; for `key_seed` see
    /// `organisation_directory`.
    explicit route_table(std::shared_ptr<deployment const> source,
                         std::uint64_t key_seed = 0);

    /// Returns the route with the longest prefix that matches a host name and path
    /// (without query), or null. Allocates nothing.
    [[nodiscard]] route const* find(std::string_view host, std::string_view path) const;

    /// The deployment that the table was built from.
    [[nodiscard]] deployment const& source() const noexcept
    {
        return *source_;
    }

    /// The organisations of the deployment; null if callers need no key.
    [[nodiscard]] organisation_directory const* organisations() const noexcept
    {
        return organisations_ ? &*organisations_ : nullptr;
    }

private:
    // Host name and prefix of a route, owned by the deployment
    struct route_key
    {
        std::string_view host;
        std::string_view prefix;

        friend bool operator==(route_key const&, route_key const&) = default;
    };

    struct route_key_hash
    {
        std::size_t operator()(route_key const& key) const noexcept;
    };

    // Owns the routes that `routes_` points to
    std::shared_ptr<deployment const> source_;
    std::unordered_map<route_key, route const*, route_key_hash> routes_;
    std::optional<organisation_directory> organisations_;
};

/// Chooses one of a route's services for a request, with a probability proportional to
/// its weight. `request_hash` is a hash of the request.
service_id choose_service(route const& from, std::uint64_t request_hash) noexcept;

} // namespace marjorampath
