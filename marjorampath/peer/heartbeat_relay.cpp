#include <marjorampath/peer/heartbeat_relay.hpp>

namespace marjorampath
{

void heartbeat_relay::add(host_id host, std::string_view message, time_point received_at)
{
    if (message.size() > options_.max_bytes)
        return;
    kept_[host] = {.message = std::string(message), .received_at = received_at};
}

std::vector<relayed_heartbeat> heartbeat_relay::take(time_point now)
{
    std::vector<relayed_heartbeat> taken;
    std::size_t bytes = 0;
    for (auto each = kept_.begin(); each != kept_.end();)
    {
        auto& kept = each->second;
        if (bytes + kept.message.size() > options_.max_bytes)
        {
            ++each;
            continue;
        }
        bytes += kept.message.size();
        taken.push_back(
            {.message = std::move(kept.message), .age = now - kept.received_at});
        each = kept_.erase(each);
    }
    return taken;
}

} // namespace marjorampath
