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

// Fraction of the trace that is left out of the measurement to warm up the caches
constexpr double warm_up_fraction = 0.25;

// Fraction of the adapters that become active or idle within an hour
constexpr double hourly_change = 0.41;

// Factor of the request rate and length of the morning burst
constexpr double burst_factor = 3.0;
constexpr double burst_seconds = 60.0;

// Most prompts start with one of a few prefixes that the adapter's requests share
constexpr double prefix_fraction = 0.7;
constexpr std::uint32_t prefixes_per_adapter = 4;
constexpr std::uint32_t prefix_tokens = 300;
constexpr std::uint32_t own_prompt_tokens = 100;

duration to_duration(double seconds)
{
    return std::chrono::duration_cast<duration>(seconds_double(seconds));
}

/// Draws adapters from a Zipf distribution over ranks. The adapter of each rank can
/// change.
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

    /// Assigns all ranks anew at random; returns how many of the first `hot` ranks hold
    /// an adapter that was not among the first `hot` before.
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

    /// Swaps the ranks of two random adapters.
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
    // Cumulative weights by rank
    std::vector<double> cumulative_;
    // Source of randomness
    generator& random_;
};

trace_request draw_request(scenario const& setup, popularity& adapter_popularity,
                           generator& random)
{
    trace_request request;
    request.adapter = adapter_popularity.draw();
    boost::random::discrete_distribution<std::uint32_t> team(setup.team_fractions);
    request.team = team(random);
    boost::random::exponential_distribution<double> tokens(1.0 / setup.mean_tokens);
    request.max_tokens = static_cast<std::uint32_t>(setup.mean_tokens * 3);
    request.tokens =
        std::clamp(static_cast<std::uint32_t>(tokens(random)), 4U, request.max_tokens);
    request.prompt_tokens = own_prompt_tokens;
    boost::random::uniform_real_distribution<double> uniform(0, 1);
    if (uniform(random) < prefix_fraction)
    {
        boost::random::uniform_int_distribution<std::uint32_t> any(1,
                                                                   prefixes_per_adapter);
        request.prefix =
            std::uint64_t{request.adapter} * prefixes_per_adapter + any(random);
        request.prefix_tokens = prefix_tokens;
        request.prompt_tokens += prefix_tokens;
    }
    request.time_limit = setup.time_limit;
    return request;
}

void add_restarts(trace& workload, scenario const& setup, generator& random)
{
    auto const length = seconds_double(setup.length).count();
    if (setup.mean_restart_interval > duration(0))
    {
        auto const rate =
            setup.engines / seconds_double(setup.mean_restart_interval).count();
        boost::random::exponential_distribution<double> gap(rate);
        boost::random::uniform_int_distribution<std::uint32_t> any(0, setup.engines - 1);
        for (auto at = gap(random); at < length; at += gap(random))
            workload.restarts.push_back({to_duration(at), any(random)});
    }
    if (setup.restart_all)
        for (std::uint32_t engine = 0; engine < setup.engines; ++engine)
            workload.restarts.push_back({setup.length / 2, engine});
    std::stable_sort(workload.restarts.begin(), workload.restarts.end(),
                     [](auto const& left, auto const& right)
                     { return left.at < right.at; });
}

} // namespace

trace make_trace(scenario const& setup, std::uint64_t seed)
{
    generator random(seed);
    popularity adapter_popularity(setup.adapters, setup.zipf, random);
    trace workload;
    workload.load_failure_probability = setup.load_failure_probability;
    workload.end = setup.length;
    auto const length = seconds_double(setup.length).count();
    workload.measured_from = to_duration(length * warm_up_fraction);
    boost::random::exponential_distribution<double> gap(setup.rate);

    // Each exchange changes two adapters
    auto const change_rate = hourly_change * setup.adapters / 2 / 3'600.0;
    boost::random::exponential_distribution<double> change_gap(change_rate);
    auto next_change =
        setup.change == popularity_change::waking ? change_gap(random) : length + 1;
    auto const middle = length / 2;
    auto shifted = false;
    auto at = 0.0;
    while (true)
    {
        auto const in_burst = setup.change == popularity_change::burst && at >= middle &&
                              at < middle + burst_seconds;
        at += gap(random) / (in_burst ? burst_factor : 1.0);
        if (at >= length)
            break;
        for (; next_change < at; next_change += change_gap(random))
            adapter_popularity.exchange();
        auto const has_shift = setup.change == popularity_change::shift ||
                               setup.change == popularity_change::burst;
        if (has_shift && !shifted && at >= middle)
        {
            shifted = true;
            workload.shift = to_duration(at);
            workload.shifted = adapter_popularity.shift(setup.engines * setup.slots);
        }
        auto request = draw_request(setup, adapter_popularity, random);
        request.at = to_duration(at);
        workload.requests.push_back(request);
    }
    add_restarts(workload, setup, random);
    return workload;
}

} // namespace marjorampath::bench
