#include <tests/soak/soak_fault.hpp>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <array>

namespace marjorampath::test
{

namespace
{

// Shortest duration of a fault
constexpr int min_fault_ms = 100;
// Largest target number; above any count, since targets are taken modulo their count
constexpr std::size_t max_target = 5'040;

constexpr std::array<std::string_view, 22> names{
    "link_delay",         "link_reset",
    "link_silence",       "link_cut_to_target",
    "link_cut_to_caller", "endpoint_pause",
    "endpoint_kill",      "endpoint_drain",
    "node_pause",         "node_kill",
    "node_stop",          "node_reload",
    "store_pause",        "configuration_change",
    "version_change",     "endpoint_limit",
    "node_cut_hang",      "node_cut_reset",
    "node_cut_refuse",    "large_change",
    "store_restore",      "key_revocation"};

// Kinds that are drawn at random times, the first ones of `names`
constexpr int drawn_kinds = 15;
// Bounds of a limit, in requests per second
constexpr int min_limit = 1;
constexpr int max_limit = 4;

} // namespace

std::string_view to_string(fault_kind kind) noexcept
{
    return names.at(static_cast<std::size_t>(kind));
}

std::vector<soak_fault> generate_schedule(schedule_options const& options)
{
    boost::random::mt19937 random(options.seed);
    auto const draw = [&](int lowest, int highest)
    { return boost::random::uniform_int_distribution<int>(lowest, highest)(random); };

    auto const max_gap_ms = 2 * static_cast<int>(options.mean_gap.count());
    auto const max_fault_ms = static_cast<int>(options.max_duration.count());
    std::vector<soak_fault> schedule;
    std::chrono::milliseconds at(draw(0, max_gap_ms));
    while (at < options.span)
    {
        schedule.push_back(
            {.kind = static_cast<fault_kind>(draw(0, drawn_kinds - 1)),
             .at = at,
             .duration = std::chrono::milliseconds(draw(min_fault_ms, max_fault_ms)),
             .target = static_cast<std::size_t>(draw(0, max_target))});
        at += std::chrono::milliseconds(draw(0, max_gap_ms));
    }
    auto const last_limit_ms = static_cast<int>(options.span.count()) / 4;
    for (int limit = 0; limit < options.limits; ++limit)
        schedule.push_back({.kind = fault_kind::endpoint_limit,
                            .at = std::chrono::milliseconds(draw(0, last_limit_ms)),
                            .duration = limit_duration,
                            .rate = static_cast<double>(draw(min_limit, max_limit)),
                            .target = static_cast<std::size_t>(draw(0, max_target))});
    constexpr int cut_kinds = 3;
    std::chrono::milliseconds cut_at(0);
    for (int cut = 0; cut < options.cuts; ++cut)
    {
        cut_at += std::chrono::milliseconds(draw(0, last_limit_ms));
        auto const first = static_cast<int>(fault_kind::node_cut_hang);
        schedule.push_back(
            {.kind = static_cast<fault_kind>(first + draw(0, cut_kinds - 1)),
             .at = cut_at,
             .duration = cut_duration,
             .target = static_cast<std::size_t>(draw(0, max_target))});
        cut_at += cut_duration;
    }
    std::chrono::milliseconds change_at(0);
    for (int change = 0; change < options.large_changes; ++change)
    {
        change_at += std::chrono::milliseconds(draw(0, last_limit_ms));
        schedule.push_back({.kind = fault_kind::large_change,
                            .at = change_at,
                            .duration = large_change_duration,
                            .target = static_cast<std::size_t>(draw(0, max_target))});
        change_at += large_change_duration;
    }
    std::chrono::milliseconds restore_at(0);
    for (int restore = 0; restore < options.restores; ++restore)
    {
        auto const max_age_ms = static_cast<int>(max_copy_age.count());
        restore_at += std::chrono::milliseconds(draw(0, last_limit_ms));
        schedule.push_back(
            {.kind = fault_kind::store_restore,
             .at = restore_at,
             .duration = std::chrono::milliseconds(draw(min_fault_ms, max_age_ms)),
             .target = static_cast<std::size_t>(draw(0, max_target))});
        restore_at += restore_duration;
    }
    for (int revocation = 0; revocation < options.revocations; ++revocation)
        schedule.push_back({.kind = fault_kind::key_revocation,
                            .at = std::chrono::milliseconds(draw(0, last_limit_ms)),
                            .duration = revocation_duration,
                            .target = static_cast<std::size_t>(draw(0, max_target))});
    return schedule;
}

} // namespace marjorampath::test
