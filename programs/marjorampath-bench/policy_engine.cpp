#include <programs/marjorampath-bench/policy_engine.hpp>

#include <algorithm>
#include <chrono>

namespace marjorampath::bench
{

namespace
{

using namespace std::chrono_literals;

// Fixed time of a step, and additional time for each request in the batch
constexpr duration fixed_step_time = 18ms;
constexpr duration step_time_per_request = 750us;

// Time to process a prompt token that is not cached
constexpr duration prompt_token_time = 100us;

// Capacity of the prefix cache of an engine
constexpr std::size_t max_cached_prefixes = 64;

// Tolerance for rounding errors of step counts, in steps
constexpr double step_tolerance = 1e-6;

} // namespace

duration step_time(std::size_t batch)
{
    return fixed_step_time + step_time_per_request * static_cast<std::int64_t>(batch);
}

void fake_engine::advance(time_point now)
{
    auto elapsed = now - advanced_to_;
    advanced_to_ = now;
    if (finish_steps_.empty())
        return;
    busy_ += elapsed;
    auto const prompt = std::min(elapsed, prompt_time_);
    prompt_time_ -= prompt;
    elapsed -= prompt;
    steps_ += static_cast<double>(elapsed.count()) /
              static_cast<double>(step_time(finish_steps_.size()).count());
}

void fake_engine::reset_busy(time_point now)
{
    advance(now);
    busy_ = duration(0);
}

bool fake_engine::use_prefix(std::uint64_t prefix)
{
    if (prefix == 0)
        return false;
    auto const found = std::find(prefixes_.begin(), prefixes_.end(), prefix);
    auto const hit = found != prefixes_.end();
    if (hit)
        prefixes_.erase(found);
    prefixes_.push_front(prefix);
    if (prefixes_.size() > max_cached_prefixes)
        prefixes_.pop_back();
    return hit;
}

void fake_engine::start(std::uint64_t run, trace_request const& request, time_point now)
{
    advance(now);
    auto const cached = use_prefix(request.prefix) ? request.prefix_tokens : 0;
    prompt_time_ += prompt_token_time * (request.prompt_tokens - cached);
    runs_[run] = finish_steps_.emplace(steps_ + request.tokens, run);
    ++generation;
}

void fake_engine::stop(std::uint64_t run, time_point now)
{
    advance(now);
    auto const found = runs_.find(run);
    finish_steps_.erase(found->second);
    runs_.erase(found);
    if (finish_steps_.empty())
        prompt_time_ = duration(0);
    ++generation;
}

std::optional<time_point> fake_engine::next_finish(time_point now) const
{
    if (finish_steps_.empty())
        return std::nullopt;
    auto const steps = std::max(0.0, finish_steps_.begin()->first - steps_);
    auto const time =
        steps * static_cast<double>(step_time(finish_steps_.size()).count());
    return now + prompt_time_ + duration(static_cast<std::int64_t>(time) + 1);
}

std::vector<std::uint64_t> fake_engine::take_finished(time_point now)
{
    advance(now);
    std::vector<std::uint64_t> finished;
    while (!finish_steps_.empty() &&
           finish_steps_.begin()->first <= steps_ + step_tolerance)
    {
        finished.push_back(finish_steps_.begin()->second);
        runs_.erase(finish_steps_.begin()->second);
        finish_steps_.erase(finish_steps_.begin());
    }
    ++generation;
    return finished;
}

std::vector<std::uint64_t> fake_engine::restart(time_point now)
{
    advance(now);
    std::vector<std::uint64_t> lost;
    for (auto const& [finish_step, run] : finish_steps_)
        lost.push_back(run);
    finish_steps_.clear();
    runs_.clear();
    prefixes_.clear();
    resident.clear();
    prompt_time_ = duration(0);
    ++generation;
    return lost;
}

} // namespace marjorampath::bench
