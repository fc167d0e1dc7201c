#include <marjorampath/resource_budget/resource_budget.hpp>

#include <algorithm>
#include <cassert>

namespace marjorampath
{

namespace
{

// Part of the places of a class that is kept for connections whose requests are refused
constexpr std::size_t refuse_only_parts = 16;

} // namespace

resource_budget::resource_budget(resource_budget_options const& options)
    : options_(options), discards_(options.discard_rate, options.discard_burst)
{
}

resource_budget::holder* resource_budget::find(connection_number connection)
{
    auto const found = holders_.find(connection);
    return found == holders_.end() ? nullptr : &found->second;
}

resource_budget::holders::iterator resource_budget::find_idle(connection_class of,
                                                              bool refuse_only)
{
    auto oldest = holders_.end();
    for (auto each = holders_.begin(); each != holders_.end(); ++each)
    {
        auto const& candidate = each->second;
        if (candidate.of != of || candidate.replaced || candidate.state != phase::idle ||
            candidate.refuse_only != refuse_only)
            continue;
        if (oldest == holders_.end() ||
            std::pair(candidate.idle_since, each->first) <
                std::pair(oldest->second.idle_since, oldest->first))
            oldest = each;
    }
    return oldest;
}

resource_budget::holders::iterator
resource_budget::find_stalled(std::optional<connection_class> of, bool with_bytes,
                              time_point now)
{
    auto longest = holders_.end();
    for (auto each = holders_.begin(); each != holders_.end(); ++each)
    {
        auto const& candidate = each->second;
        auto const waits_for_client =
            candidate.state == phase::receiving || candidate.state == phase::sending;
        if (!waits_for_client || candidate.ending || candidate.wanted > 0 ||
            candidate.due > now || (of && candidate.of != *of) ||
            (with_bytes && candidate.reserved == 0))
            continue;
        if (longest == holders_.end() ||
            std::pair(candidate.due, each->first) <
                std::pair(longest->second.due, longest->first))
            longest = each;
    }
    return longest;
}

bool resource_budget::take_discard(std::size_t bytes, time_point now)
{
    if (!discards_.available(now))
        return false;
    discards_.take(now);
    discards_.add(1.0 - static_cast<double>(bytes));
    return true;
}

resource_budget::opening resource_budget::open(connection_class of, time_point now)
{
    opening result;
    auto const index = static_cast<std::size_t>(of);
    auto const places = options_.limits.connections_of(of);
    auto const refusals = std::max<std::size_t>(1, places / refuse_only_parts);
    auto const evict = [&](holders::iterator chosen, budget_event event)
    {
        result.evicted = budget_notice{.connection = chosen->first, .event = event};
        leave_place(chosen->second);
        chosen->second.replaced = true;
        chosen->second.ending = true;
    };
    auto refuse_only = false;
    if (open_[index] - refuse_only_[index] + refusals >= places)
    {
        auto victim = find_idle(of, false);
        if (victim != holders_.end())
        {
            evict(victim, budget_event::evicted_idle);
        }
        else if (victim = find_stalled(of, false, now); victim != holders_.end())
        {
            evict(victim, budget_event::evicted_stalled);
        }
        else
        {
            refuse_only = true;
            if (refuse_only_[index] >= refusals)
            {
                victim = find_idle(of, true);
                if (victim == holders_.end())
                    return result;
                evict(victim, budget_event::evicted_idle);
            }
        }
    }
    result.decision = refuse_only ? admission::refuse_only : admission::admitted;
    result.connection = ++last_number_;
    holders_.emplace(
        result.connection,
        holder{.of = of, .refuse_only = refuse_only, .idle_since = now, .begun = now});
    ++open_[index];
    refuse_only_[index] += refuse_only ? 1 : 0;
    return result;
}

void resource_budget::leave_place(holder const& of)
{
    auto const index = static_cast<std::size_t>(of.of);
    --open_[index];
    refuse_only_[index] -= of.refuse_only ? 1 : 0;
}

void resource_budget::close(connection_number connection)
{
    auto* const closed = find(connection);
    if (!closed)
        return;
    release(*closed);
    stop_waiting(connection);
    if (!closed->replaced)
        leave_place(*closed);
    holders_.erase(connection);
}

void resource_budget::add_reserved(holder& to, std::size_t bytes)
{
    to.reserved += bytes;
    reserved_ += bytes;
    reserved_by_class_[static_cast<std::size_t>(to.of)] += bytes;
}

void resource_budget::release(holder& of)
{
    reserved_ -= of.reserved;
    reserved_by_class_[static_cast<std::size_t>(of.of)] -= of.reserved;
    of.reserved = 0;
}

void resource_budget::on_idle(connection_number connection, time_point now)
{
    auto* const idle = find(connection);
    if (!idle)
        return;
    stop_waiting(connection);
    release(*idle);
    idle->state = phase::idle;
    idle->ending = idle->replaced;
    idle->idle_since = now;
}

void resource_budget::start_progress(holder& of, phase state, duration stall_time,
                                     time_point now)
{
    of.state = state;
    of.stall_time = stall_time;
    of.due = now + stall_time;
}

void resource_budget::on_receiving(connection_number connection, time_point now)
{
    auto* const receiving = find(connection);
    if (!receiving)
        return;
    receiving->begun = now;
    start_progress(*receiving, phase::receiving, options_.stall_time, now);
}

void resource_budget::on_working(connection_number connection, time_point begun)
{
    auto* const working = find(connection);
    if (!working)
        return;
    if (working->state == phase::idle)
        working->begun = begun;
    working->state = phase::working;
}

void resource_budget::on_sending(connection_number connection, bool is_stream,
                                 time_point now)
{
    if (auto* const sending = find(connection))
        start_progress(
            *sending, phase::sending,
            is_stream ? options_.stream_stall_time : options_.answer_stall_time, now);
}

void resource_budget::on_progress(connection_number connection, std::size_t bytes,
                                  time_point now)
{
    auto* const active = find(connection);
    if (!active)
        return;
    auto const rate =
        active->state == phase::sending ? options_.answer_min_rate : options_.min_rate;
    auto const earned = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(static_cast<double>(bytes) / rate));
    active->due = std::min(now + active->stall_time, active->due + earned);
}

std::size_t resource_budget::most_bytes(connection_class of) const noexcept
{
    return of == connection_class::hosts ? options_.limits.host_message_bytes
                                         : options_.limits.message_bytes;
}

bool resource_budget::fits(connection_class of, std::size_t bytes,
                           std::size_t returning) const
{
    auto const of_class = reserved_by_class_[static_cast<std::size_t>(of)];
    return reserved_ + bytes <= options_.limits.message_bytes + returning &&
           of_class + bytes <= most_bytes(of) + returning;
}

reservation resource_budget::reserve(connection_number connection, std::size_t bytes,
                                     time_point now)
{
    auto* const asking = find(connection);
    if (!asking)
        return reservation::too_large;
    assert(asking->wanted == 0);
    auto const most =
        std::min(options_.limits.connection_message_bytes, most_bytes(asking->of));
    if (asking->reserved + bytes > most)
        return reservation::too_large;
    queue_key const key{asking->begun, connection};
    auto const is_first = waiting_.empty() || key < *waiting_.begin();
    if (is_first && fits(asking->of, bytes, 0))
    {
        add_reserved(*asking, bytes);
        return reservation::made;
    }
    asking->wanted = bytes;
    asking->waiting_since = now;
    waiting_.insert(key);
    return reservation::waiting;
}

void resource_budget::stop_waiting(connection_number connection)
{
    auto* const waiting = find(connection);
    if (!waiting || waiting->wanted == 0)
        return;
    waiting_.erase({waiting->begun, connection});
    waiting->wanted = 0;
}

std::optional<resource_budget::queue_key>
resource_budget::find_expired(std::optional<connection_class> of, time_point now) const
{
    std::optional<queue_key> youngest_run;
    for (auto each = waiting_.rbegin(); each != waiting_.rend(); ++each)
    {
        auto const& waiting = holders_.at(each->second);
        if ((of && waiting.of != *of) || now - waiting.waiting_since < options_.max_wait)
            continue;
        if (waiting.state == phase::receiving)
            return *each;
        if (!youngest_run)
            youngest_run = *each;
    }
    return youngest_run;
}

void resource_budget::make_room(queue_key const& first,
                                std::vector<budget_notice>& notices, time_point now)
{
    auto const of = holders_.at(first.second).of;
    auto const bytes = holders_.at(first.second).wanted;

    // Where the part of its class is used up, only that class can make room
    auto const of_class = reserved_by_class_[static_cast<std::size_t>(of)];
    auto const limited_by_class = of_class + bytes > most_bytes(of);
    auto const yielding = limited_by_class ? std::optional(of) : std::nullopt;
    std::size_t returning = 0;
    for (auto const& [number, each] : holders_)
        if (each.ending && (!yielding || each.of == *yielding))
            returning += each.reserved;
    while (!fits(of, bytes, returning))
    {
        if (auto const stalled = find_stalled(yielding, true, now);
            stalled != holders_.end())
        {
            notices.push_back({stalled->first, budget_event::evicted_stalled});
            returning += stalled->second.reserved;
            stalled->second.ending = true;
            continue;
        }
        auto const expired = find_expired(yielding, now);
        if (!expired)
            return;
        auto& refused = holders_.at(expired->second);
        notices.push_back({expired->second, budget_event::refused});
        returning += refused.reserved;
        refused.ending = true;
        stop_waiting(expired->second);
        if (*expired == first)
            return;
    }
}

std::vector<budget_notice> resource_budget::settle(time_point now)
{
    std::vector<budget_notice> notices;
    std::array<bool, connection_classes> blocked{};
    for (auto each = waiting_.begin(); each != waiting_.end();)
    {
        auto const key = *each;
        ++each;
        auto& waiting = holders_.at(key.second);
        auto& is_blocked = blocked[static_cast<std::size_t>(waiting.of)];
        if (is_blocked)
            continue;
        auto const bytes = waiting.wanted;
        if (fits(waiting.of, bytes, 0))
        {
            stop_waiting(key.second);
            add_reserved(waiting, bytes);

            // The client could not go on while it waited
            waiting.due = now + waiting.stall_time;
            notices.push_back({key.second, budget_event::granted});
            continue;
        }

        // Younger requests do not overtake, except those of a class with bytes left where
        // only this class has none
        is_blocked = true;
        auto const limited_by_class =
            reserved_by_class_[static_cast<std::size_t>(waiting.of)] + bytes >
            most_bytes(waiting.of);
        make_room(key, notices, now);
        if (!limited_by_class)
            break;
        each = waiting_.upper_bound(key);
    }
    return notices;
}

} // namespace marjorampath
