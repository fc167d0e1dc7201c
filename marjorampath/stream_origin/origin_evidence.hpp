#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/deployment/endpoint_announcement.hpp>
#include <marjorampath/stream_origin/origin_finding.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

namespace marjorampath
{

struct possible_versions;
struct stream_question;

/// Settings of the evidence for the origins of streams.
struct origin_evidence_options
{
    /// Least time between two rounds of questions to the engines of a service.
    duration round_interval = std::chrono::milliseconds(500);
    /// Time after which a round without all answers has ended.
    duration round_timeout = std::chrono::milliseconds(700);
    /// Engines of a service up to which they are asked: each host asks all of them.
    std::size_t max_engines = 32;
};

/// Finds the software version that began a stream from the prompt parts that engines
/// still keep, for use when all hosts that remembered the stream are lost.
///
/// The engine that ran a stream keeps the last part of its prompt. So the version is
/// known if engines of exactly one version keep the part, all engines of other versions
/// said that they do not, and no process of another version has ended since the stream
/// began. What an engine said counts only for streams that had begun when it was asked.
///
/// All streams of a service share rounds of questions to its engines; each waits for a
/// round that was begun after it was known here.
class origin_evidence
{
public:
    /// Endpoints by identifier.
    using endpoint_map = std::map<endpoint_id, endpoint_announcement>;

    /// Constructs without evidence.
    explicit origin_evidence(origin_evidence_options options) : options_(options) {}

    /// The engines of a service to ask now for the parts that they keep, for a stream
    /// that had begun by a time. Empty if a round was begun since, while one is in
    /// progress or was begun a moment ago, or if there are too many engines.
    std::vector<endpoint_id> begin_round(service_id service, time_point begun_by,
                                         endpoint_map const& endpoints, time_point now);

    /// Notes the parts that the process of an engine that started at `started_at_ms`
    /// keeps, as of `asked_at`; without parts that it did not answer.
    void on_answer(service_id service, endpoint_id engine, std::uint64_t started_at_ms,
                   std::optional<std::unordered_set<std::uint64_t>> parts,
                   time_point asked_at);

    /// Whether answers of engines of a service are awaited.
    [[nodiscard]] bool is_pending(service_id service, time_point now) const;

    /// What the answers prove of the software version that began a stream, which one of
    /// the possible versions did. Pending until a round has ended that was begun after
    /// the stream had.
    [[nodiscard]] origin_finding find_version(stream_question const& question,
                                              endpoint_map const& endpoints,
                                              possible_versions const& possible,
                                              time_point now) const;

private:
    // What one process of an engine said last
    struct answer
    {
        std::uint64_t started_at_ms = 0;
        time_point asked_at;
        std::unordered_set<std::uint64_t> parts;
    };

    // The last round of questions to a service's engines
    struct round
    {
        time_point begun_at;
        std::set<endpoint_id> awaited;
    };

    // An engine's answer that is of its present process and was asked for at or after a
    // time, or null
    [[nodiscard]] answer const* find_answer(endpoint_announcement const& engine,
                                            time_point since) const;
    // Whether a service has more engines than are asked
    [[nodiscard]] bool has_too_many_engines(service_id service,
                                            endpoint_map const& endpoints) const;
    // When a round for streams that had begun by a time has ended or can begin; empty if
    // one has ended
    [[nodiscard]] std::optional<time_point>
    find_recheck(service_id service, time_point begun_by, time_point now) const;
    // What the answers to questions since the stream had begun prove
    [[nodiscard]] origin_finding evaluate(stream_question const& question,
                                          endpoint_map const& endpoints,
                                          possible_versions const& possible) const;
    // Removes the answers of engines that are gone
    void forget_gone(endpoint_map const& endpoints);

    origin_evidence_options options_;
    std::map<endpoint_id, answer> answers_;
    std::map<service_id, round> rounds_;
};

} // namespace marjorampath
