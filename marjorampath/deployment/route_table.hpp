#pragma once

#include <marjorampath/deployment/deployment.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace marjorampath
{

/// Finds the route of a request. Immutable; rebuilt for each version of a deployment.
class route_table
{
public:
    /// Indexes a deployment's routes.
    explicit route_table(std::shared_ptr<deployment const> source);

    /// Returns the route with the longest prefix that matches a host name and path
    /// (without query), or null.
    [[nodiscard]] route const* find(std::string_view host, std::string_view path) const;

    /// The deployment that the table was built from.
    [[nodiscard]] deployment const& source() const noexcept
    {
        return *source_;
    }

private:
    // Owns the routes that `routes_` points to
    std::shared_ptr<deployment const> source_;
    // Routes by concatenated host name and prefix
    std::unordered_map<std::string, route const*> routes_;
};

/// Chooses one of a route's services for a request, with a probability proportional to
/// its weight. `request_hash` is a hash of the request.
service_id choose_service(route const& from, std::uint64_t request_hash) noexcept;

} // namespace marjorampath
