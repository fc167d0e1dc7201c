#include <marjorampath/quota/quota_share.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

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
    if (limit_rate_ == 0 && is_young(now))
    {
        level_ = -rate * seconds(options_.initial_debt);
        share_ = rate * seconds(options_.initial_time);
    }
    limit_rate_ = rate;
    limit_burst_ = burst;
    apply_limit(now);
    level_ = std::min(level_, burst_);
}

void quota_share::apply_limit(time_point now)
{
    auto const scale =
        is_young(now) ? 1 : 1 + options_.tolerance * options_.used_tolerance;
    rate_ = limit_rate_ * scale;
    burst_ = limit_burst_ * scale;
}

void quota_share::set_others(quota_demand const& others, time_point now)
{
    update(now);
    others_ = others;
}

double quota_share::corrected(double average, time_point now) const
{
    auto const age = std::max(now - started_at_, options_.min_averaged_time);
    return average / (1 - std::exp(-seconds(age) / seconds(options_.averaging_time)));
}

double quota_share::total_asked(time_point now) const
{
    auto const own = corrected(own_.asked, now);
    auto const known = others_.asked + own * static_cast<double>(1 + hosts_.silent);
    return is_settling(now) ? std::max(known, own * static_cast<double>(hosts_.sharing))
                            : known;
}

double quota_share::part(time_point now) const
{
    auto const total = total_asked(now);
    return total > 0 ? corrected(own_.asked, now) / total : 0;
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
    apply_limit(now);
    auto const time = seconds(now - updated_at_);
    auto const saved =
        part(now) * (std::max(level_, 0.0) + rate_ * seconds(options_.max_saved_time));
    auto const kept_share = is_settling(now) ? std::max(share_, saved) : saved;
    if (hosts_.known())
        share_ = std::min(share_ + share_rate(now) * time, kept_share);
    auto const others =
        others_.used + corrected(own_.used, now) * static_cast<double>(hosts_.silent);
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
    if (hosts.known() && !hosts_.known())
        share_ += rate_ * seconds(now - started_at_ - options_.initial_time) /
                  static_cast<double>(hosts.sharing);
    hosts_ = hosts;
}

bool quota_share::is_plenty(double units, time_point now) const
{
    auto const asked = total_asked(now);
    if (is_young(now) && now - started_at_ >= options_.report_delay &&
        asked <= options_.calm_fraction * rate_)
        return true;
    auto const excess = std::max(asked - rate_, 0.0);
    return !is_settling(now) && level_ - units >= excess * seconds(options_.report_delay);
}

std::optional<duration> quota_share::time_to_share(double units, time_point now) const
{
    if (!hosts_.known())
        return share_ >= units ? std::nullopt : std::optional(hosts_.unknown_for);
    if (is_plenty(units, now) || share_ >= 0)
        return std::nullopt;
    // The rate is zero if nothing was asked for but requests without units
    auto const wait =
        std::min((units - share_) / share_rate(now), seconds(options_.max_wait));
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(wait));
}

std::optional<duration> quota_share::ask(double units, time_point now)
{
    update(now);
    own_.asked += units / seconds(options_.averaging_time);
    if (hosts_.known())
    {
        auto const phase = std::exchange(phase_, 0);
        share_ -= is_young(now) ? phase * units : 0;
    }
    auto const wait = time_to_share(units, now);
    if (!wait)
        take(units);
    return wait;
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
    auto const own = corrected(own_.asked, now);
    auto const even = own * static_cast<double>(hosts_.sharing);
    return std::max(even, own + others_.asked) >= options_.reported_fraction * rate_;
}

quota_demand quota_share::demand(time_point now)
{
    update(now);
    return {.asked = corrected(own_.asked, now), .used = corrected(own_.used, now)};
}

} // namespace marjorampath
