#include <marjorampath/stream_origin/stream_origin_table.hpp>

namespace marjorampath
{

void stream_origin_table::remember(stream_origin const& origin, time_point now)
{
    forget_old(now);
    entry const known{.software_version = origin.software_version, .remembered_at = now};
    if (streams_.emplace(origin.stream, known).second)
        order_.push_back(origin.stream);
}

std::optional<std::string> stream_origin_table::find(stream_id stream,
                                                     time_point now) const
{
    auto const found = streams_.find(stream);
    if (found == streams_.end() ||
        now - found->second.remembered_at > options_.max_stream_age)
        return std::nullopt;
    return found->second.software_version;
}

void stream_origin_table::forget_old(time_point now)
{
    while (!order_.empty() &&
           (order_.size() >= options_.max_streams ||
            now - streams_.at(order_.front()).remembered_at > options_.max_stream_age))
    {
        streams_.erase(order_.front());
        order_.pop_front();
    }
}

} // namespace marjorampath
