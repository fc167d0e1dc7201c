#include <tests/soak/soak_fault.hpp>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <array>

namespace marjorampath::test
{

namespace
{

// Shortest fault that lasts
constexpr int shortest_ms = 100;
// Targets are taken modulo their count; larger than any count
constexpr std::size_t target_bound = 5'040;

constexpr std::array<std::string_view, 15> names{
    "link_delay",         "link_reset",
    "link_silence",       "link_cut_to_target",
    "link_cut_to_caller", "endpoint_pause",
    "endpoint_kill",      "endpoint_drain",
    "node_pause",         "node_kill",
    "node_stop",          "node_reload",
    "store_pause",        "configuration_change",
    "version_change"};

} // namespace

std::string_view to_string(fault_kind kind) noexcept
{
    return names.at(static_cast<std::size_t>(kind));
}

std::vector<soak_fault> generate_schedule(schedule_options const& options)
{
    boost::random::mt19937 random(options.seed);
    auto const pick = [&](int least, int most)
    { return boost::random::uniform_int_distribution<int>(least, most)(random); };

    auto const longest_gap = 2 * static_cast<int>(options.mean_gap.count());
    auto const longest = static_cast<int>(options.longest.count());
    std::vector<soak_fault> schedule;
    std::chrono::milliseconds at(pick(0, longest_gap));
    while (at < options.span)
    {
        schedule.push_back(
            {.kind = static_cast<fault_kind>(pick(0, static_cast<int>(names.size()) - 1)),
             .at = at,
             .length = std::chrono::milliseconds(pick(shortest_ms, longest)),
             .target = static_cast<std::size_t>(pick(0, target_bound))});
        at += std::chrono::milliseconds(pick(0, longest_gap));
    }
    return schedule;
}

} // namespace marjorampath::test
