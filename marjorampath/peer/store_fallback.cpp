#include <marjorampath/peer/store_fallback.hpp>

#include <algorithm>

namespace marjorampath
{

duration store_fallback::time_to_listing(duration listing_age, time_point now) const
{
    auto const until_old = options_.max_listing_age - listing_age;
    return std::max({until_old, listing_.next_at - now, duration{0}});
}

void store_fallback::note_operator_lag(bool lags, time_point now)
{
    if (!lags)
        lags_since_.reset();
    else if (!lags_since_)
        lags_since_ = now;
}

bool store_fallback::wants_operator(time_point now) const
{
    auto const lags = lags_since_ && now - *lags_since_ >= options_.max_operator_lag;
    return (lags || others_are_old_) && now >= operator_.next_at;
}

void store_fallback::on_listing_read(bool succeeded, duration listing_age, time_point now)
{
    on_read(listing_, succeeded, now);
    others_are_old_ = others_are_old_ || listing_age >= options_.max_listing_age;
}

void store_fallback::on_operator_read(bool succeeded, time_point now)
{
    on_read(operator_, succeeded, now);
    if (!succeeded)
        return;
    lags_since_.reset();
    others_are_old_ = false;
}

void store_fallback::on_read(schedule& reads, bool succeeded, time_point now) const
{
    reads.pause =
        succeeded ? duration{0}
                  : std::clamp(reads.pause * 2, options_.first_pause, options_.max_pause);
    reads.next_at = now + reads.pause;
}

} // namespace marjorampath
