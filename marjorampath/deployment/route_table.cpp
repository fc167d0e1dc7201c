#include <marjorampath/deployment/route_table.hpp>

#include <utility>

namespace marjorampath
{

namespace
{

// Key of the route index
std::string route_key(std::string_view host, std::string_view prefix)
{
    std::string key;
    key.reserve(host.size() + prefix.size());
    key += host;
    key += prefix;
    return key;
}

} // namespace

route_table::route_table(std::shared_ptr<deployment const> source)
    : source_(std::move(source))
{
    for (auto const& each : source_->routes)
        routes_.emplace(route_key(each.host, each.prefix), &each);
}

route const* route_table::find(std::string_view host, std::string_view path) const
{
    // All route prefixes end with a slash: look up the prefixes of the path that end with
    // one, longest first
    for (auto end = path.rfind('/'); end != std::string_view::npos;
         end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1))
    {
        auto const found = routes_.find(route_key(host, path.substr(0, end + 1)));
        if (found != routes_.end())
            return found->second;
    }
    return nullptr;
}

service_id choose_service(route const& from, std::uint64_t request_hash) noexcept
{
    std::uint64_t total = 0;
    for (auto const& each : from.services)
        total += each.weight;
    if (total == 0)
        return from.services.empty() ? service_id() : from.services.front().service;
    auto left = request_hash % total;
    for (auto const& each : from.services)
    {
        if (left < each.weight)
            return each.service;
        left -= each.weight;
    }
    return from.services.back().service;
}

} // namespace marjorampath
