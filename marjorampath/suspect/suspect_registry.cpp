#include <marjorampath/core/hash.hpp>
#include <marjorampath/suspect/suspect_registry.hpp>

#include <algorithm>

namespace marjorampath
{

suspect_registry::suspect_registry(suspect_options options) : options_(options) {}

run_restriction suspect_registry::check_restriction(time_point now,
                                                    fingerprint_id fingerprint) const
{
    auto const found_count = running_counts_.find(fingerprint);
    auto const running_count =
        found_count != running_counts_.end() ? found_count->second : 0;
    auto const found = records_.find(fingerprint);
    if (found != records_.end() && found->second.expires > now)
    {
        if (found->second.known.second_crash != 0)
            return run_restriction::convicted;
        return running_count == 0 ? run_restriction::alone : run_restriction::wait;
    }
    if (running_count >= options_.max_unproven_requests && !proven_.contains(fingerprint))
        return run_restriction::wait;
    return run_restriction::none;
}

void suspect_registry::on_grant(request_id request, fingerprint_id fingerprint,
                                endpoint_id endpoint)
{
    if (running_.emplace(request, running_request{fingerprint, endpoint}).second)
        ++running_counts_[fingerprint];
}

void suspect_registry::on_end(request_id request, bool finished)
{
    auto const found = running_.find(request);
    if (found == running_.end())
        return;
    auto const fingerprint = found->second.fingerprint;
    running_.erase(found);
    auto const found_count = running_counts_.find(fingerprint);
    if (--found_count->second == 0)
        running_counts_.erase(found_count);
    if (!finished)
        return;

    // A suspect that ran to its end is cleared
    auto const suspect = records_.find(fingerprint);
    if (suspect != records_.end() && suspect->second.known.second_crash == 0)
        records_.erase(suspect);
    if (proven_.size() < options_.max_records)
        proven_.insert(fingerprint);
}

std::vector<fingerprint_id> suspect_registry::on_crash(time_point now,
                                                       wall_milliseconds wall,
                                                       endpoint_id endpoint,
                                                       std::uint64_t boot_number)
{
    // Never zero, which stands for no crash
    auto const crash = hash_combine(endpoint.number(), boot_number) | 1U;
    std::vector<request_id> ended;
    std::vector<fingerprint_id> suspects;
    for (auto const& [request, running] : running_)
    {
        if (running.endpoint != endpoint)
            continue;
        ended.push_back(request);
        suspects.push_back(running.fingerprint);
    }
    std::sort(suspects.begin(), suspects.end());
    suspects.erase(std::unique(suspects.begin(), suspects.end()), suspects.end());
    for (auto const& request : ended)
        on_end(request, false);

    // Content that finished once is not the cause: a request that crashes its endpoint
    // never finishes
    std::erase_if(suspects,
                  [&](auto const& fingerprint) { return proven_.contains(fingerprint); });
    for (auto const& fingerprint : suspects)
        add_crash(now, wall, fingerprint, crash);
    return suspects;
}

void suspect_registry::add_crash(time_point now, wall_milliseconds wall,
                                 fingerprint_id fingerprint, std::uint64_t crash)
{
    conviction added;
    added.fingerprint = fingerprint;
    added.first_crash = crash;
    added.crashed_at = wall;
    added.remaining = options_.suspect_duration;
    merge(now, added);
    auto const found = records_.find(fingerprint);
    if (found != records_.end())
        found->second.spread_until = now + options_.spread_time;
}

void suspect_registry::merge(time_point now, conviction const& other)
{
    auto const found_release = releases_.find(other.fingerprint);
    if (found_release != releases_.end() && found_release->second.expires > now &&
        other.crashed_at <= found_release->second.at)
        return;

    // A host that has just started takes any content in flight at a crash for a suspect
    if (proven_.contains(other.fingerprint))
        return;
    if (!records_.contains(other.fingerprint) && records_.size() >= options_.max_records)
        return;

    auto& record = records_[other.fingerprint];
    if (record.expires <= now)
        record.known = {};
    auto& known = record.known;
    auto const convicted_before = known.second_crash != 0;
    known.fingerprint = other.fingerprint;
    known.crashed_at = std::max(known.crashed_at, other.crashed_at);
    for (auto const crash : {other.first_crash, other.second_crash})
    {
        if (crash == 0 || crash == known.first_crash || crash == known.second_crash)
            continue;
        if (known.first_crash == 0)
            known.first_crash = crash;
        else if (known.second_crash == 0)
            known.second_crash = crash;
    }

    // Two reports of one crash each make a conviction if the crashes differ; its full
    // duration starts now
    auto const convicted = known.second_crash != 0;
    auto const remaining = convicted && other.second_crash == 0 && !convicted_before
                               ? options_.conviction_duration
                               : other.remaining;
    record.expires = std::max(record.expires, now + remaining);
}

void suspect_registry::release(time_point now, conviction_release const& command)
{
    auto& known = releases_[command.fingerprint];
    known.at = std::max(known.at, command.released_at);
    known.expires = std::max(known.expires, now + command.remaining);
    auto const found = records_.find(command.fingerprint);
    if (found != records_.end() && found->second.known.crashed_at <= command.released_at)
        records_.erase(found);
}

std::vector<conviction> suspect_registry::convictions(time_point now) const
{
    std::vector<conviction> found;
    for (auto const& [fingerprint, record] : records_)
    {
        auto const convicted = record.known.second_crash != 0;
        if (record.expires <= now || (!convicted && record.spread_until <= now))
            continue;
        found.push_back(record.known);
        found.back().remaining = record.expires - now;
    }
    std::sort(found.begin(), found.end(),
              [](auto const& left, auto const& right)
              {
                  if ((left.second_crash != 0) != (right.second_crash != 0))
                      return left.second_crash != 0;
                  return left.crashed_at != right.crashed_at
                             ? left.crashed_at > right.crashed_at
                             : left.fingerprint < right.fingerprint;
              });
    if (found.size() > options_.max_spread_records)
        found.resize(options_.max_spread_records);
    return found;
}

std::vector<conviction_release> suspect_registry::releases(time_point now) const
{
    std::vector<conviction_release> found;
    for (auto const& [fingerprint, known] : releases_)
    {
        if (known.expires > now)
            found.push_back({fingerprint, known.at, known.expires - now});
    }
    return found;
}

void suspect_registry::forget_old(time_point now)
{
    std::erase_if(records_,
                  [&](auto const& entry) { return entry.second.expires <= now; });
    std::erase_if(releases_,
                  [&](auto const& entry) { return entry.second.expires <= now; });
}

} // namespace marjorampath
