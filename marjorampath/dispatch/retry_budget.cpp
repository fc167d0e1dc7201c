#include <marjorampath/dispatch/retry_budget.hpp>

#include <algorithm>

namespace marjorampath
{

retry_budget::bucket& retry_budget::current(time_point now)
{
    auto const length = options_.window / static_cast<std::int64_t>(buckets_per_window);
    auto const number = now.time_since_epoch() / length;
    auto& found = buckets_.at(static_cast<std::size_t>(number) % buckets_.size());
    if (found.number != number)
        found = {.number = number};
    return found;
}

void retry_budget::on_request(time_point now)
{
    ++current(now).requests;
}

bool retry_budget::take(time_point now, std::size_t hosts)
{
    auto& present = current(now);
    auto const oldest = present.number - static_cast<std::int64_t>(buckets_per_window);
    double requests = 0;
    double repeats = 0;
    for (auto const& each : buckets_)
    {
        if (each.number < oldest)
            continue;
        requests += each.requests;
        repeats += each.repeats;
    }
    auto const share = now - started_at_ < options_.settling_time
                           ? 0
                           : options_.extra_repeats_per_window /
                                 static_cast<double>(std::max<std::size_t>(hosts, 1));
    if (repeats + 1 > options_.used_fraction * (options_.ratio * requests + share))
        return false;
    ++present.repeats;
    return true;
}

} // namespace marjorampath
