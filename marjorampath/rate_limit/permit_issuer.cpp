#include <marjorampath/rate_limit/permit_issuer.hpp>

#include <algorithm>

namespace marjorampath
{

permit_issuer::decision permit_issuer::take(endpoint_id endpoint, double rate,
                                            time_point now)
{
    rate = std::max(rate, options_.min_rate);
    std::chrono::duration<double> const burst_time = options_.burst_time;
    auto const burst = std::max(1.0, rate * burst_time.count());
    auto const added = endpoints_.try_emplace(
        endpoint, permits{token_bucket::empty(rate, burst, now), now});
    auto& present = added.first->second;
    present.available.set_rate(rate, burst, now);
    if (present.available.available(now))
    {
        present.available.take(now);
        return {.granted = true};
    }
    auto const interval =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(1 / rate));
    auto const asks_again_at = std::min(std::max(present.available.next_available(now),
                                                 present.last_asks_again_at + interval),
                                        now + options_.max_wait);
    present.last_asks_again_at = asks_again_at;
    return {.wait = asks_again_at - now};
}

void permit_issuer::forget(endpoint_id endpoint)
{
    endpoints_.erase(endpoint);
}

} // namespace marjorampath
