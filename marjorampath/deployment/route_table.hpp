#pragma once

#include <marjorampath/deployment/deployment.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace marjorampath
{

/// Finds the route of a request. Immutable; made anew for each version of a deployment.
class route_table
{
public:
    /// Indexes a deployment's routes.
    explicit route_table(std::shared_ptr<deployment const> source);

    /// The route of a host name and path (without query) with the longest prefix, or
    /// null.
    [[nodiscard]] route const* find(std::string_view host, std::string_view path) const;

    /// The deployment that the table was made from.
    [[nodiscard]] deployment const& source() const noexcept
    {
        return *source_;
    }

private:
    // The deployment
    std::shared_ptr<deployment const> source_;
    // Routes by host name and prefix, joined
    std::unordered_map<std::string, route const*> routes_;
};

/// The service of a route for a request; `draw` is a hash of the request, so that the
/// shares of the services follow their weights.
service_id choose_service(route const& from, std::uint64_t draw) noexcept;

} // namespace marjorampath
