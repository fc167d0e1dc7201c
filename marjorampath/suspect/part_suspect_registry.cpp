#include <marjorampath/core/hash.hpp>
#include <marjorampath/suspect/part_suspect_registry.hpp>

#include <algorithm>
#include <utility>

namespace marjorampath
{

std::uint64_t crash_id(endpoint_id endpoint, std::uint64_t started_at_ms)
{
    return hash_combine(endpoint.number(), started_at_ms);
}

part_suspect_registry::part_suspect_registry(part_suspect_options options)
    : options_(options)
{
}

void part_suspect_registry::on_broken(std::span<prompt_part const> parts,
                                      std::uint64_t crash, time_point now)
{
    // A request that is sent to a dead process was not in flight at its end
    if (parts.empty() || known_crashes_.contains(crash))
        return;
    auto& broken =
        broken_.try_emplace(crash, broken_answers{.parts = {}, .at = now}).first->second;
    for (auto const& part : parts)
        if (std::find(broken.parts.begin(), broken.parts.end(), part.id) ==
            broken.parts.end())
            broken.parts.push_back(part.id);
}

std::vector<std::uint64_t> part_suspect_registry::on_crash(std::uint64_t crash,
                                                           time_point now)
{
    known_crashes_[crash] = now + options_.confirmation_timeout;
    auto const found = broken_.find(crash);
    if (found == broken_.end())
        return {};
    auto const broken = std::move(found->second);
    broken_.erase(found);
    for (auto const part : broken.parts)
        add_crash(part, {.id = crash, .at = broken.at}, now, now + options_.spread_time);
    return broken.parts;
}

void part_suspect_registry::on_alive(std::uint64_t crash)
{
    broken_.erase(crash);
}

void part_suspect_registry::on_sound(std::span<prompt_part const> parts, time_point now)
{
    for (auto const& part : parts)
    {
        auto& sound_at = sound_answers_[part.id];
        sound_at = std::max(sound_at, now);
        if (refute(part.id, now))
            refutations_[part.id] = {.sound_at = now,
                                     .spread_until = now + options_.spread_time};
    }
}

void part_suspect_registry::merge(part_report const& report, time_point now)
{
    if (report.sound_age)
    {
        auto& sound_at = sound_answers_[report.part];
        sound_at = std::max(sound_at, now - *report.sound_age);
        refute(report.part, sound_at);
    }
    for (auto const& crash : report.crashes)
        add_crash(report.part, {.id = crash.id, .at = now - crash.age}, now, {});
}

void part_suspect_registry::add_crash(std::uint64_t part, part_crash const& crash,
                                      time_point now, time_point spread_until)
{
    auto const sound = sound_answers_.find(part);
    if (sound != sound_answers_.end() && sound->second >= crash.at)
    {
        refutations_[part] = {.sound_at = sound->second,
                              .spread_until = now + options_.spread_time};
        return;
    }
    if (!records_.contains(part) && records_.size() >= options_.max_records)
        return;
    auto& known = records_[part];
    known.spread_until = std::max(known.spread_until, spread_until);
    auto& crashes = known.crashes;
    auto const is_known =
        std::any_of(crashes.begin(), crashes.end(),
                    [&](auto const& each) { return each.id == crash.id; });
    if (is_known || crashes.size() >= options_.max_crashes_per_part)
        return;
    auto const place = std::find_if(crashes.begin(), crashes.end(),
                                    [&](auto const& each) { return each.at > crash.at; });
    crashes.insert(place, crash);
    update(part, known);
}

bool part_suspect_registry::refute(std::uint64_t part, time_point sound_at)
{
    auto const found = records_.find(part);
    if (found == records_.end())
        return false;
    auto const removed = std::erase_if(found->second.crashes, [&](auto const& crash)
                                       { return crash.at <= sound_at; });
    if (found->second.crashes.empty())
        records_.erase(found);
    else
        update(part, found->second);
    return removed > 0;
}

void part_suspect_registry::update(std::uint64_t part, record& changed)
{
    auto const convicted = separate_crashes(changed) >= options_.crashes_to_convict;
    if (convicted && !changed.convicted)
        new_convictions_.push_back(part);
    changed.convicted = convicted;
    changed.expires =
        changed.crashes.back().at +
        (convicted ? options_.conviction_duration : options_.suspect_duration);
}

std::size_t part_suspect_registry::separate_crashes(record const& known) const
{
    std::size_t count = 0;
    time_point last;
    for (auto const& crash : known.crashes)
    {
        if (count > 0 && crash.at - last < options_.min_crash_gap)
            continue;
        ++count;
        last = crash.at;
    }
    return count;
}

bool part_suspect_registry::has_rival(record const& known,
                                      std::span<prompt_part const> parts,
                                      time_point now) const
{
    auto const was_at = [](record const& other, std::uint64_t crash)
    {
        return std::any_of(other.crashes.begin(), other.crashes.end(),
                           [&](auto const& each) { return each.id == crash; });
    };
    return std::any_of(
        records_.begin(), records_.end(),
        [&](auto const& entry)
        {
            auto const& [part, other] = entry;
            if (other.expires <= now || other.crashes.size() < known.crashes.size() ||
                std::any_of(parts.begin(), parts.end(),
                            [part = part](auto const& each) { return each.id == part; }))
                return false;
            return std::all_of(known.crashes.begin(), known.crashes.end(),
                               [&](auto const& crash)
                               { return was_at(other, crash.id); });
        });
}

std::optional<part_conviction>
part_suspect_registry::find_conviction(std::span<prompt_part const> parts,
                                       time_point now) const
{
    for (auto const& part : parts)
    {
        auto const found = records_.find(part.id);
        if (found == records_.end() || !found->second.convicted ||
            found->second.expires <= now || has_rival(found->second, parts, now))
            continue;
        return part_conviction{.part = part.id, .remaining = found->second.expires - now};
    }
    return std::nullopt;
}

std::vector<part_report> part_suspect_registry::reports(time_point now) const
{
    std::vector<part_report> found;
    std::vector<std::pair<std::uint64_t, record const*>> suspected;
    for (auto const& [part, known] : records_)
        if (known.expires > now && (known.convicted || known.spread_until > now))
            suspected.emplace_back(part, &known);
    std::sort(suspected.begin(), suspected.end(),
              [](auto const& left, auto const& right)
              {
                  auto const rank = [](auto const& each) {
                      return std::pair(each.second->convicted,
                                       each.second->crashes.size());
                  };
                  return rank(left) != rank(right) ? rank(left) > rank(right)
                                                   : left.first < right.first;
              });

    // Convictions go first, as a host that has just started knows none of them
    auto const add_suspected = [&](auto const& each)
    {
        part_report report{.part = each.first, .crashes = {}, .sound_age = {}};
        for (auto const& crash : each.second->crashes)
            report.crashes.push_back({.id = crash.id, .age = now - crash.at});
        found.push_back(std::move(report));
    };
    auto const first_suspect =
        std::find_if(suspected.begin(), suspected.end(),
                     [](auto const& each) { return !each.second->convicted; });
    std::for_each(suspected.begin(), first_suspect, add_suspected);
    for (auto const& [part, known] : refutations_)
        if (known.spread_until > now)
            found.push_back(
                {.part = part, .crashes = {}, .sound_age = now - known.sound_at});
    std::for_each(first_suspect, suspected.end(), add_suspected);
    if (found.size() > options_.max_spread_records)
        found.resize(options_.max_spread_records);
    return found;
}

std::vector<std::uint64_t> part_suspect_registry::take_new_convictions()
{
    return std::exchange(new_convictions_, {});
}

void part_suspect_registry::forget_old(time_point now)
{
    std::erase_if(records_,
                  [&](auto const& entry) { return entry.second.expires <= now; });
    std::erase_if(broken_, [&](auto const& entry)
                  { return now - entry.second.at > options_.confirmation_timeout; });
    std::erase_if(known_crashes_, [&](auto const& entry) { return entry.second <= now; });
    std::erase_if(sound_answers_, [&](auto const& entry)
                  { return now - entry.second > options_.sound_answer_memory; });
    std::erase_if(refutations_,
                  [&](auto const& entry) { return entry.second.spread_until <= now; });
}

} // namespace marjorampath
