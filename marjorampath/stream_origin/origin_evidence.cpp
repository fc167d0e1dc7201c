#include <marjorampath/stream_origin/origin_evidence.hpp>
#include <marjorampath/stream_origin/possible_versions.hpp>
#include <marjorampath/stream_origin/stream_question.hpp>

#include <algorithm>
#include <utility>

namespace marjorampath
{

std::vector<endpoint_id> origin_evidence::begin_round(service_id service,
                                                      time_point begun_by,
                                                      endpoint_map const& endpoints,
                                                      time_point now)
{
    auto const last = rounds_.find(service);
    if (last != rounds_.end() &&
        (last->second.begun_at >= begun_by || is_pending(service, now) ||
         now - last->second.begun_at < options_.round_interval))
        return {};
    if (has_too_many_engines(service, endpoints))
        return {};
    forget_gone(endpoints);
    std::vector<endpoint_id> engines;
    for (auto const& [id, endpoint] : endpoints)
        if (endpoint.service == service)
            engines.push_back(id);
    rounds_[service] = {.begun_at = now, .awaited = {engines.begin(), engines.end()}};
    return engines;
}

void origin_evidence::on_answer(service_id service, endpoint_id engine,
                                std::uint64_t started_at_ms,
                                std::optional<std::unordered_set<std::uint64_t>> parts,
                                time_point asked_at)
{
    // A late answer of an earlier round does not end the wait for one of this round
    auto const round = rounds_.find(service);
    if (round != rounds_.end() && asked_at >= round->second.begun_at)
        round->second.awaited.erase(engine);
    auto const known = answers_.find(engine);
    if (parts && (known == answers_.end() || known->second.asked_at <= asked_at))
        answers_[engine] = {.started_at_ms = started_at_ms,
                            .asked_at = asked_at,
                            .parts = std::move(*parts)};
}

bool origin_evidence::is_pending(service_id service, time_point now) const
{
    auto const found = rounds_.find(service);
    return found != rounds_.end() && !found->second.awaited.empty() &&
           now - found->second.begun_at < options_.round_timeout;
}

std::optional<time_point> origin_evidence::find_recheck(service_id service,
                                                        time_point begun_by,
                                                        time_point now) const
{
    auto const found = rounds_.find(service);
    if (found == rounds_.end())
        return now;
    auto const begun_at = found->second.begun_at;
    if (is_pending(service, now))
        return begun_at + options_.round_timeout;
    if (begun_at < begun_by)
        return begun_at + options_.round_interval;
    return std::nullopt;
}

origin_finding origin_evidence::find_version(stream_question const& question,
                                             endpoint_map const& endpoints,
                                             possible_versions const& possible,
                                             time_point now) const
{
    if (!possible.complete_as_told)
        return {.result = origin_result::past_unknown};
    if (has_too_many_engines(question.service, endpoints))
        return {.result = origin_result::too_many_engines};
    auto found = evaluate(question, endpoints, possible);
    auto const recheck = find_recheck(question.service, question.begin.latest, now);
    if (found.result == origin_result::proved || !recheck)
        return found;
    return {.result = origin_result::pending, .recheck = *recheck};
}

origin_finding origin_evidence::evaluate(stream_question const& question,
                                         endpoint_map const& endpoints,
                                         possible_versions const& possible) const
{
    std::set<std::string> keeping;
    std::set<std::string> unanswered;
    for (auto const& [id, endpoint] : endpoints)
    {
        if (endpoint.service != question.service)
            continue;
        auto const* known = find_answer(endpoint, question.begin.latest);
        if (!known)
            unanswered.insert(endpoint.software_version);
        else if (known->parts.contains(question.part))
            keeping.insert(endpoint.software_version);
    }
    if (keeping.size() > 1)
        return {.result = origin_result::kept_by_several};
    if (keeping.empty())
        return {.result = unanswered.empty() ? origin_result::prompt_not_kept
                                             : origin_result::engine_silent};
    auto const& version = *keeping.begin();
    unanswered.erase(version);
    if (!unanswered.empty())
        return {.result = origin_result::engine_silent};
    if (possible.another_ended(version))
        return {.result = origin_result::process_ended};
    return {.result = origin_result::proved, .software_version = version};
}

origin_evidence::answer const*
origin_evidence::find_answer(endpoint_announcement const& engine, time_point since) const
{
    auto const found = answers_.find(engine.id);
    if (found == answers_.end() || found->second.started_at_ms != engine.started_at_ms ||
        found->second.asked_at < since)
        return nullptr;
    return &found->second;
}

bool origin_evidence::has_too_many_engines(service_id service,
                                           endpoint_map const& endpoints) const
{
    auto const engines =
        std::count_if(endpoints.begin(), endpoints.end(),
                      [&](auto const& each) { return each.second.service == service; });
    return static_cast<std::size_t>(engines) > options_.max_engines;
}

void origin_evidence::forget_gone(endpoint_map const& endpoints)
{
    std::erase_if(answers_,
                  [&](auto const& entry) { return !endpoints.contains(entry.first); });
}

} // namespace marjorampath
