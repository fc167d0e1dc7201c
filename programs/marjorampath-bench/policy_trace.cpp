#include <programs/marjorampath-bench/policy_trace.hpp>

#include <boost/random/discrete_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

namespace marjorampath::bench
{

namespace
{

using generator = boost::random::mt19937_64;
using seconds_double = std::chrono::duration<double>;

// Part of the trace after which the caches are warm
constexpr double warm_part = 0.25;

// Part of the adapters that wake up or fall idle within an hour
constexpr double hourly_change = 0.41;

// Factor and length of the morning burst
constexpr double burst_factor = 3.0;
constexpr double burst_seconds = 60.0;

// Prompts: a shared prefix for most requests, of a few by adapter
constexpr double prefix_part = 0.7;
constexpr std::uint32_t prefixes_by_adapter = 4;
constexpr std::uint32_t prefix_tokens = 300;
constexpr std::uint32_t own_prompt_tokens = 100;

duration to_duration(double seconds)
{
    return std::chrono::duration_cast<duration>(seconds_double(seconds));
}

/// Draws adapters by a Zipf distribution over ranks, and changes which adapter has which
/// rank.
class popularity
{
public:
    popularity(std::uint32_t adapters, double exponent, generator& random)
        : by_rank_(adapters), random_(random)
    {
        std::iota(by_rank_.begin(), by_rank_.end(), 0U);
        shuffle(0, adapters);
        double sum = 0;
        for (std::uint32_t rank = 1; rank <= adapters; ++rank)
        {
            sum += std::pow(rank, -exponent);
            cumulative_.push_back(sum);
        }
    }

    std::uint32_t draw()
    {
        boost::random::uniform_real_distribution<double> uniform(0, cumulative_.back());
        auto const found =
            std::lower_bound(cumulative_.begin(), cumulative_.end(), uniform(random_));
        auto const rank = static_cast<std::size_t>(found - cumulative_.begin());
        return by_rank_[std::min(rank, by_rank_.size() - 1)];
    }

    /// Gives all ranks to other adapters; returns how many of the first `hot` are new.
    std::uint32_t shift(std::uint32_t hot)
    {
        auto before = by_rank_;
        shuffle(0, static_cast<std::uint32_t>(by_rank_.size()));
        before.resize(hot);
        std::sort(before.begin(), before.end());
        return static_cast<std::uint32_t>(std::count_if(
            by_rank_.begin(), by_rank_.begin() + hot,
            [&](std::uint32_t adapter)
            { return !std::binary_search(before.begin(), before.end(), adapter); }));
    }

    /// Exchanges the ranks of two adapters drawn at random.
    void exchange()
    {
        boost::random::uniform_int_distribution<std::size_t> any(0, by_rank_.size() - 1);
        auto const first = any(random_);
        auto const second = any(random_);
        std::swap(by_rank_[first], by_rank_[second]);
    }

private:
    void shuffle(std::uint32_t from, std::uint32_t to)
    {
        for (auto index = to - 1; index > from; --index)
        {
            boost::random::uniform_int_distribution<std::uint32_t> any(from, index);
            std::swap(by_rank_[index], by_rank_[any(random_)]);
        }
    }

    // Adapter of each rank
    std::vector<std::uint32_t> by_rank_;
    // Sums of the weights up to each rank
    std::vector<double> cumulative_;
    // Source of randomness
    generator& random_;
};

trace_request draw_request(scenario const& chosen, popularity& popular, generator& random)
{
    trace_request request;
    request.adapter = popular.draw();
    boost::random::discrete_distribution<std::uint32_t> team(chosen.team_fractions);
    request.team = team(random);
    boost::random::exponential_distribution<double> tokens(1.0 / chosen.mean_tokens);
    request.max_tokens = static_cast<std::uint32_t>(chosen.mean_tokens * 3);
    request.tokens =
        std::clamp(static_cast<std::uint32_t>(tokens(random)), 4U, request.max_tokens);
    request.prompt_tokens = own_prompt_tokens;
    boost::random::uniform_real_distribution<double> uniform(0, 1);
    if (uniform(random) < prefix_part)
    {
        boost::random::uniform_int_distribution<std::uint32_t> any(1,
                                                                   prefixes_by_adapter);
        request.prefix =
            std::uint64_t{request.adapter} * prefixes_by_adapter + any(random);
        request.prefix_tokens = prefix_tokens;
        request.prompt_tokens += prefix_tokens;
    }
    request.time_limit = chosen.time_limit;
    return request;
}

void add_restarts(trace& made, scenario const& chosen, generator& random)
{
    auto const length = seconds_double(chosen.length).count();
    if (chosen.mean_restart_interval > duration(0))
    {
        auto const rate =
            chosen.engines / seconds_double(chosen.mean_restart_interval).count();
        boost::random::exponential_distribution<double> gap(rate);
        boost::random::uniform_int_distribution<std::uint32_t> any(0, chosen.engines - 1);
        for (auto at = gap(random); at < length; at += gap(random))
            made.restarts.push_back({to_duration(at), any(random)});
    }
    if (chosen.restart_all)
        for (std::uint32_t engine = 0; engine < chosen.engines; ++engine)
            made.restarts.push_back({chosen.length / 2, engine});
    std::stable_sort(made.restarts.begin(), made.restarts.end(),
                     [](auto const& left, auto const& right)
                     { return left.at < right.at; });
}

} // namespace

trace make_trace(scenario const& chosen, std::uint64_t seed)
{
    generator random(seed);
    popularity popular(chosen.adapters, chosen.zipf, random);
    trace made;
    made.load_failure_probability = chosen.load_failure_probability;
    made.end = chosen.length;
    auto const length = seconds_double(chosen.length).count();
    made.measured_from = to_duration(length * warm_part);
    boost::random::exponential_distribution<double> gap(chosen.rate);

    // An exchange of two ranks changes two adapters
    auto const change_rate = hourly_change * chosen.adapters / 2 / 3'600.0;
    boost::random::exponential_distribution<double> change_gap(change_rate);
    auto next_change =
        chosen.change == popularity_change::waking ? change_gap(random) : length + 1;
    auto const middle = length / 2;
    auto shifted = false;
    auto at = 0.0;
    while (true)
    {
        auto const bursts = chosen.change == popularity_change::burst && at >= middle &&
                            at < middle + burst_seconds;
        at += gap(random) / (bursts ? burst_factor : 1.0);
        if (at >= length)
            break;
        for (; next_change < at; next_change += change_gap(random))
            popular.exchange();
        auto const shifts = chosen.change == popularity_change::shift ||
                            chosen.change == popularity_change::burst;
        if (shifts && !shifted && at >= middle)
        {
            shifted = true;
            made.shift = to_duration(at);
            made.shifted = popular.shift(chosen.engines * chosen.slots);
        }
        auto request = draw_request(chosen, popular, random);
        request.at = to_duration(at);
        made.requests.push_back(request);
    }
    add_restarts(made, chosen, random);
    return made;
}

} // namespace marjorampath::bench
