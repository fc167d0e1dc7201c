#include <marjorampath/quota/quota_share.hpp>

#include <algorithm>
#include <cmath>

namespace marjorampath
{

namespace
{

double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

void quota_share::set_limit(double rate, double burst, time_point now)
{
    update(now);
    if (rate_ == 0)
    {
        share_ = rate * seconds(options_.initial_time);
        level_ = -rate * seconds(options_.initial_debt);
    }
    auto const scale = 1 + options_.tolerance * options_.used_tolerance;
    rate_ = rate * scale;
    burst_ = burst * scale;
    level_ = std::min(level_, burst_);
}

void quota_share::set_others(quota_demand const& others, time_point now)
{
    update(now);
    others_ = others;
}

double quota_share::total_asked(time_point now) const
{
    auto const known =
        others_.asked + own_.asked * static_cast<double>(1 + hosts_.silent);
    return is_settling(now)
               ? std::max(known, own_.asked * static_cast<double>(hosts_.sharing))
               : known;
}

double quota_share::part(time_point now) const
{
    auto const total = total_asked(now);
    return total > 0 ? own_.asked / total : 0;
}

double quota_share::share_rate(time_point now) const
{
    // The level corrects what the hosts' views of each other get wrong
    auto const rate = rate_ + level_ / seconds(options_.drain_time);
    return part(now) * std::max(rate, options_.min_rate_fraction * rate_);
}

void quota_share::update(time_point now)
{
    if (now <= updated_at_)
        return;
    auto const time = seconds(now - updated_at_);
    auto const saved =
        part(now) * (std::max(level_, 0.0) + rate_ * seconds(options_.max_saved_time));
    auto const kept_share = is_settling(now) ? std::max(share_, saved) : saved;
    share_ = std::min(share_ + share_rate(now) * time, kept_share);
    auto const others = others_.used + own_.used * static_cast<double>(hosts_.silent);
    level_ = std::clamp(level_ + (rate_ - others) * time, -burst_ - rate_, burst_);
    auto const kept = std::exp(-time / seconds(options_.averaging_time));
    own_.asked *= kept;
    own_.used *= kept;
    updated_at_ = now;
}

void quota_share::take(double units)
{
    level_ -= units;
    share_ -= units;
    own_.used += units / seconds(options_.averaging_time);
}

void quota_share::set_hosts(quota_hosts const& hosts, time_point now)
{
    update(now);
    hosts_ = hosts;
}

std::optional<duration> quota_share::ask(double units, time_point now)
{
    update(now);
    own_.asked += units / seconds(options_.averaging_time);
    auto const excess = std::max(total_asked(now) - rate_, 0.0);
    auto const is_plenty =
        !is_settling(now) && level_ - units >= excess * seconds(options_.report_delay);
    if (!is_plenty && share_ < 0)
    {
        // The rate is zero if nothing was asked for but requests without units
        auto const wait =
            std::min((units - share_) / share_rate(now), seconds(options_.max_wait));
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(wait));
    }
    take(units);
    return std::nullopt;
}

void quota_share::charge(double units, time_point now)
{
    update(now);
    take(units);
}

void quota_share::give_back(double units, time_point now)
{
    update(now);
    level_ = std::min(level_ + units, burst_);
    share_ += units;
    own_.used = std::max(own_.used - units / seconds(options_.averaging_time), 0.0);
}

bool quota_share::is_reported(time_point now)
{
    update(now);
    auto const even = own_.asked * static_cast<double>(hosts_.sharing);
    return std::max(even, own_.asked + others_.asked) >=
           options_.reported_fraction * rate_;
}

quota_demand quota_share::demand(time_point now)
{
    update(now);
    return own_;
}

} // namespace marjorampath
