#include <marjorampath/core/hash.hpp>
#include <marjorampath/deployment/route_table.hpp>

#include <utility>

namespace marjorampath
{

std::size_t route_table::route_key_hash::operator()(route_key const& key) const noexcept
{
    return hash_combine(hash_bytes(key.host), hash_bytes(key.prefix));
}

route_table::route_table(std::shared_ptr<deployment const> source, std::uint64_t key_seed)
    : source_(std::move(source))
{
    for (auto const& each : source_->routes)
        routes_.emplace(route_key{.host = each.host, .prefix = each.prefix}, &each);
    if (source_->organisations)
        organisations_.emplace(source_->organisations->organisations, key_seed);
}

route const* route_table::find(std::string_view host, std::string_view path) const
{
    // All route prefixes end with a slash: look up the prefixes of the path that end with
    // one, longest first
    for (auto end = path.rfind('/'); end != std::string_view::npos;
         end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1))
    {
        auto const found =
            routes_.find({.host = host, .prefix = path.substr(0, end + 1)});
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
