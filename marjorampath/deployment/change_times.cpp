#include <marjorampath/deployment/change_times.hpp>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>

namespace marjorampath
{

namespace
{

// Counts the writes of endpoints and tells how many each of a few of them made at least
class write_counter
{
public:
    explicit write_counter(std::uint32_t min_writers) : min_writers_(min_writers) {}

    void add(endpoint_id writer)
    {
        auto const count = ++writes_[writer];
        if (++writers_[count] >= min_writers_)
            common_ = std::max(common_, count);
    }

    // Least time over which they were made
    [[nodiscard]] duration time(duration interval) const
    {
        return common_ > 1 ? (common_ - 1) * interval : duration{0};
    }

private:
    std::uint32_t min_writers_;
    std::map<endpoint_id, std::uint32_t> writes_;
    // Number of endpoints with at least so many writes
    std::map<std::uint32_t, std::uint32_t> writers_;
    // Writes that enough endpoints made
    std::uint32_t common_ = 0;
};

} // namespace

std::vector<time_point> latest_change_times(endpoint_history const& history,
                                            std::vector<reached_position> const& reached,
                                            change_time_options const& options)
{
    auto const& changes = history.changes;
    std::vector<time_point> times(changes.size() + 1, time_point::max());
    for (auto const& each : reached)
    {
        write_counter writes(options.min_writers);
        auto const limit = [&](std::size_t index)
        {
            times[index] = std::min(
                times[index], each.reached_by - writes.time(options.min_write_interval));
        };
        for (auto index = changes.size(); index > 0; --index)
        {
            auto const& change = changes[index - 1];
            if (change.position > each.position)
                continue;
            limit(index);
            if (change.entry)
                writes.add(change.id);
        }
        if (history.after <= each.position)
            limit(0);
    }
    return times;
}

} // namespace marjorampath
