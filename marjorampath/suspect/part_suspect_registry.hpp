#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/dispatch/call.hpp>
#include <marjorampath/suspect/part_report.hpp>
#include <marjorampath/suspect/part_suspect_options.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace marjorampath
{

/// Identifies one process of an endpoint, so that hosts that see the same crash count it
/// once.
std::uint64_t crash_id(endpoint_id endpoint, std::uint64_t started_at_ms);

/// A part that requests are refused for.
struct part_conviction
{
    /// The part's identifier.
    std::uint64_t part = 0;
    /// Time until it is lifted.
    duration remaining{0};
};

/// Finds the parts of prompts that crash endpoints, whatever else a request holds.
///
/// All requests in flight at a crash are suspected with all of their shared parts. An
/// answer that is written without a crash refutes what was held against its parts before.
/// A part is convicted after a few crashes in a row. If another part was in flight at the
/// same crashes, only requests that hold both are refused: the next request with one of
/// them tells which one it is.
class part_suspect_registry
{
public:
    /// Creates a registry without suspicions.
    explicit part_suspect_registry(part_suspect_options options);

    /// Notes that an answer to a request with these parts broke off before it was known
    /// to be sound. Counts once the endpoint is known to have crashed.
    void on_broken(std::span<prompt_part const> parts, std::uint64_t crash,
                   time_point now);

    /// Notes that an endpoint's process has crashed. Returns the parts that were in
    /// flight there at this host.
    std::vector<std::uint64_t> on_crash(std::uint64_t crash, time_point now);

    /// Notes that an endpoint whose answers broke off has not crashed.
    void on_alive(std::uint64_t crash);

    /// Notes that an answer to a request with these parts was written without a crash.
    void on_sound(std::span<prompt_part const> parts, time_point now);

    /// Merges another host's report.
    void merge(part_report const& report, time_point now);

    /// At most `max_spread_records` parts to report to other hosts: convicted ones,
    /// refuted ones, then suspected ones, those with the most crashes first.
    [[nodiscard]] std::vector<part_report> reports(time_point now) const;

    /// The conviction for which a request with these parts is refused, if there is one.
    [[nodiscard]] std::optional<part_conviction>
    find_conviction(std::span<prompt_part const> parts, time_point now) const;

    /// Returns the parts that were convicted since the last call.
    std::vector<std::uint64_t> take_new_convictions();

    /// Removes what has expired.
    void forget_old(time_point now);

private:
    struct part_crash
    {
        std::uint64_t id = 0;
        time_point at;
    };

    struct record
    {
        // In the order of their times
        std::vector<part_crash> crashes;
        // Whether there are enough crashes for a conviction
        bool convicted = false;
        time_point expires;
        // Time until which this host spreads the suspicion; unset if others observed it
        time_point spread_until;
    };

    // Parts whose answers broke off at an endpoint that may have crashed
    struct broken_answers
    {
        std::vector<std::uint64_t> parts;
        // When the first answer broke off
        time_point at;
    };

    // A refutation that is spread
    struct refutation
    {
        time_point sound_at;
        time_point spread_until;
    };

    // Adds a crash to a part's record, unless it is refuted
    void add_crash(std::uint64_t part, part_crash const& crash, time_point now,
                   time_point spread_until);
    // Removes the crashes of a part up to a time; true if there were any
    bool refute(std::uint64_t part, time_point sound_at);
    // Updates what follows from a record's crashes
    void update(std::uint64_t part, record& changed);
    // Number of a record's crashes that count
    [[nodiscard]] std::size_t separate_crashes(record const& known) const;
    // Whether a part that is not among `parts` was in flight at all of a record's crashes
    [[nodiscard]] bool has_rival(record const& known, std::span<prompt_part const> parts,
                                 time_point now) const;

    part_suspect_options options_;
    // Suspicions by part
    std::map<std::uint64_t, record> records_;
    // Answers that broke off, by crash
    std::map<std::uint64_t, broken_answers> broken_;
    // Crashes that are known, and when they are forgotten
    std::map<std::uint64_t, time_point> known_crashes_;
    // Latest sound answer by part
    std::map<std::uint64_t, time_point> sound_answers_;
    // Refutations by part
    std::map<std::uint64_t, refutation> refutations_;
    // Parts convicted since `take_new_convictions`
    std::vector<std::uint64_t> new_convictions_;
};

} // namespace marjorampath
