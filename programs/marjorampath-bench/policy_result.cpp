#include <programs/marjorampath-bench/policy_result.hpp>

#include <algorithm>
#include <chrono>
#include <numeric>

namespace marjorampath::bench
{

namespace
{

using seconds_double = std::chrono::duration<double>;

double seconds(duration time)
{
    return seconds_double(time).count();
}

template <class Value>
double percentile(std::vector<Value>& values, double part)
{
    if (values.empty())
        return 0;
    auto const index =
        static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return static_cast<double>(values[index]);
}

void measure_stalls(policy_result& row, std::vector<double> stalls)
{
    if (stalls.empty())
        return;
    row.requests = stalls.size();
    row.stall_total = std::accumulate(stalls.begin(), stalls.end(), 0.0);
    auto const stalled = std::count_if(stalls.begin(), stalls.end(),
                                       [](double stall) { return stall > 0; });
    row.stalled = static_cast<double>(stalled) / static_cast<double>(stalls.size());
    row.stall_p50 = percentile(stalls, 0.50);
    row.stall_p95 = percentile(stalls, 0.95);
    row.stall_p99 = percentile(stalls, 0.99);
}

// Time after the shift from which on, for a window's length, stalls are as rare as before
template <class Stall>
double recovery_time(trace const& made, Stall const& stall)
{
    constexpr double window = 10.0;
    constexpr double tolerance = 0.9;
    auto const unstalled_part = [&](double from, double to)
    {
        double total = 0;
        double unstalled = 0;
        for (std::size_t index = 0; index < made.requests.size(); ++index)
        {
            auto const at = seconds(made.requests[index].at);
            if (at < from || at >= to)
                continue;
            total += 1;
            unstalled += stall(index) > duration(0) ? 0 : 1;
        }
        return total > 0 ? unstalled / total : 1.0;
    };
    auto const shift = seconds(made.shift);
    auto const steady = unstalled_part(seconds(made.measured_from), shift);
    auto from = shift;
    while (from + window < seconds(made.end) &&
           unstalled_part(from, from + window) < tolerance * steady)
        from += 1.0;
    return from - shift;
}

// Max-min fair shares by equal weights: what each team could get of the capacity
std::vector<double> fair_shares(std::vector<double> const& demand, double capacity)
{
    std::vector<double> shares(demand.size(), 0);
    std::vector<std::size_t> order(demand.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::sort(order.begin(), order.end(),
              [&](auto left, auto right) { return demand[left] < demand[right]; });
    auto left = capacity;
    for (std::size_t index = 0; index < order.size(); ++index)
    {
        auto const team = order[index];
        auto const part = left / static_cast<double>(order.size() - index);
        shares[team] = std::min(demand[team], part);
        left -= shares[team];
    }
    return shares;
}

void measure_recovery(policy_result& row, scenario const& chosen, trace const& made)
{
    constexpr double allowance = 5.0;
    row.recovery_aim = made.shifted / chosen.loads_per_second + allowance;
}

} // namespace

policy_result measure(world& after, std::string const& policy, duration busy,
                      std::vector<std::uint32_t> costs)
{
    auto const& made = after.made;
    auto const& chosen = after.chosen;
    policy_result row;
    row.scenario = chosen.name;
    row.policy = policy;
    std::vector<double> stalls;
    std::vector<double> demand(chosen.team_fractions.size(), 0);
    std::vector<double> served(chosen.team_fractions.size(), 0);
    std::uint64_t finished = 0;
    std::uint64_t cut = 0;
    for (std::size_t index = 0; index < made.requests.size(); ++index)
    {
        auto const& asked = made.requests[index];
        auto const& record = after.records[index];
        auto const finishes = record.state == request_state::finished;

        // Tokens count where they were made, requests where they arrived
        if (finishes && record.finished_at >= time_point(made.measured_from) &&
            record.finished_at <= time_point(made.end))
            served[asked.team] += asked.tokens;
        if (asked.at < made.measured_from)
            continue;
        stalls.push_back(seconds(record.stall));
        demand[asked.team] += asked.tokens;
        if (record.state == request_state::cut)
            ++cut;
        if (finishes)
            ++finished;
    }
    measure_stalls(row, stalls);
    auto const tokens = std::accumulate(served.begin(), served.end(), 0.0);
    auto const measured = seconds(made.end - made.measured_from);
    auto const full_rate = chosen.concurrency / seconds(token_time(chosen.concurrency));
    row.batch_efficiency = tokens / (full_rate * seconds(busy));
    row.utilisation = tokens / (full_rate * chosen.engines * measured);
    row.goodput = static_cast<double>(finished) / static_cast<double>(row.requests);
    row.cut = static_cast<double>(cut) / static_cast<double>(row.requests);
    row.token_rate = tokens / measured;
    row.loads = after.loads;
    row.evictions = after.unloads;
    auto const shares = fair_shares(demand, tokens);
    row.fairness = 1.0;
    for (std::size_t team = 0; team < shares.size(); ++team)
        if (shares[team] > 0)
            row.fairness = std::min(row.fairness, served[team] / shares[team]);
    row.decision_mean_us = costs.empty()
                               ? 0
                               : std::accumulate(costs.begin(), costs.end(), 0.0) /
                                     static_cast<double>(costs.size()) / 1e3;
    row.decision_p99_us = percentile(costs, 0.99) / 1e3;
    if (made.shift > duration(0))
    {
        measure_recovery(row, chosen, made);
        row.recovery = recovery_time(made, [&](std::size_t index)
                                     { return after.records[index].stall; });
    }
    return row;
}

policy_result measure(scenario const& chosen, trace const& made,
                      clairvoyant_result const& reached)
{
    policy_result row;
    row.scenario = chosen.name;
    row.policy = "clairvoyant";
    std::vector<double> stalls;
    for (std::size_t index = 0; index < made.requests.size(); ++index)
        if (made.requests[index].at >= made.measured_from)
            stalls.push_back(seconds(reached.stalls[index]));
    measure_stalls(row, stalls);
    row.loads = reached.loads;
    row.goodput = 1.0;
    row.fairness = 1.0;
    if (made.shift > duration(0))
    {
        measure_recovery(row, chosen, made);
        row.recovery =
            recovery_time(made, [&](std::size_t index) { return reached.stalls[index]; });
    }
    return row;
}

} // namespace marjorampath::bench
