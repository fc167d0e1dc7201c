#include <marjorampath/core/hash.hpp>
#include <serving/clock/boot_time.hpp>
#include <serving/fleet/grant_router.hpp>
#include <serving/telemetry/log.hpp>

#include <algorithm>
#include <memory>
#include <utility>
#include <variant>
#include <vector>

namespace marjorampath::serving
{

namespace
{

// Time after which an owner that has not answered a release is sent it again
constexpr duration release_timeout = std::chrono::seconds(1);

// Advice to a caller whose request found no owner
constexpr duration owner_retry_after = std::chrono::seconds(1);

held_grant make_held(grant_request const& question, request_id asked,
                     endpoint_id endpoint, time_point now)
{
    return {.request = asked,
            .endpoint = endpoint,
            .adapter = question.adapter,
            .fingerprint = question.fingerprint,
            .remaining = std::max(duration{0}, question.deadline - now),
            .kind = question.endpoints,
            .team = question.team,
            .isolated = question.isolated};
}

} // namespace

grant_router::grant_router(grant_router_options options, lease_holder& holder,
                           grant_service& local, fleet_peers& peers)
    : options_(options), holder_(holder), local_(local), peers_(peers),
      registry_(options.self)
{
}

grant_service grant_router::as_service()
{
    return {
        .request = [this](grant_request const& question, grant_callback answer)
        { request(question, std::move(answer)); },
        .release = [this](release_report const& report) { release(report); },
        .withdraw = [this](request_id request) { withdraw(request); },
    };
}

void grant_router::request(grant_request const& question, grant_callback answer)
{
    if (waiting_.size() >= options_.max_requests)
    {
        answer(refuse_action{.request = question.request,
                             .entry = question.entry,
                             .reason = error_kind::queue_full,
                             .retry_after = owner_retry_after});
        return;
    }
    auto const now = boot_now();
    auto const added = waiting_.emplace(
        question.request, waiting_request{.question = question,
                                          .answer = std::move(answer),
                                          .refuse_at = now + options_.owner_wait});
    if (added.second)
        ask(added.first->second);
}

void grant_router::ask(waiting_request& waiting)
{
    auto const now = boot_now();
    auto const owner = holder_.owner_hint(options_.cell, now);
    auto const hold_status = holder_.hold_status(options_.cell, now);
    if (!owner || (owner == options_.self && hold_status == lease_status::none))
        return wait(waiting);

    // A new number for each try: late answers and releases of others do not match it
    waiting.asked =
        request_id(hash_combine(waiting.question.request.number(), ++questions_));
    waiting.owner = owner;
    if (owner == options_.self)
        ask_here(waiting);
    else
        ask_there(waiting);
}

void grant_router::ask_here(waiting_request& waiting)
{
    auto question = waiting.question;
    question.request = waiting.asked;
    auto const original = waiting.question.request;
    local_.request(question,
                   [this, original, asked = waiting.asked](grant_reply const& reply)
                   { take(original, asked, make_reply(asked, reply)); });
}

cell_grant_reply grant_router::make_reply(request_id asked,
                                          grant_reply const& decided) const
{
    cell_grant_reply reply{.request = asked, .fencing_number = number_};
    if (auto const* grant = std::get_if<grant_action>(&decided))
        reply.decision = cell_grant_reply::granted{grant->endpoint};
    else if (auto const* refusal = std::get_if<refuse_action>(&decided))
        reply.decision = cell_grant_reply::refused{refusal->reason, refusal->retry_after};
    return reply;
}

void grant_router::ask_there(waiting_request& waiting)
{
    auto const now = boot_now();
    cell_grant_request question{.cell = options_.cell, .question = waiting.question};
    question.question.request = waiting.asked;
    auto const original = waiting.question.request;
    auto const timeout =
        std::max<duration>(waiting.question.deadline - now, options_.retry_interval);
    waiting.call = peers_.call<cell_grant_request>(
        waiting.owner, question, timeout,
        [this, original, asked = waiting.asked,
         owner = waiting.owner](std::error_code error, cell_grant_reply const& reply)
        {
            if (!error)
                return take(original, asked, reply);

            // The owner may have granted it before the call failed
            send_release(
                {.request = asked, .endpoint = {}, .reason = release_reason::cancelled},
                owner);
            auto const found = waiting_.find(original);
            if (found != waiting_.end() && found->second.asked == asked)
                wait(found->second);
        });
}

void grant_router::take(request_id original, request_id asked,
                        cell_grant_reply const& reply)
{
    auto const* granted = std::get_if<cell_grant_reply::granted>(&reply.decision);
    auto const found = waiting_.find(original);
    if (found == waiting_.end() || found->second.asked != asked)
        return;

    auto& waiting = found->second;
    if (granted)
        return take_grant(waiting, reply.fencing_number, granted->endpoint);
    if (auto const* refused = std::get_if<cell_grant_reply::refused>(&reply.decision))
    {
        // A cell that lost its lease refuses so what another owner may grant
        if (refused->reason == error_kind::owner_unreachable)
            return wait(waiting);
        return finish(original, refuse_action{.request = original,
                                              .entry = options_.self,
                                              .reason = refused->reason,
                                              .retry_after = refused->retry_after});
    }

    auto const owner = std::get<cell_grant_reply::not_owner>(reply.decision).owner;
    if (owner && owner != waiting.owner)
        holder_.on_hint(options_.cell, owner, reply.fencing_number);
    wait(waiting);
}

void grant_router::take_grant(waiting_request& waiting, std::uint64_t number,
                              endpoint_id endpoint)
{
    auto const now = boot_now();
    auto const original = waiting.question.request;
    auto const held = make_held(waiting.question, waiting.asked, endpoint, now);

    // A later owner that was told of this host's grants does not know of this one
    if (!registry_.on_grant(now, options_.cell, number, held))
    {
        send_release({.request = waiting.asked,
                      .endpoint = endpoint,
                      .reason = release_reason::cancelled},
                     waiting.owner);
        return wait(waiting);
    }
    running_.emplace(original,
                     running_request{.asked = waiting.asked, .owner = waiting.owner});
    finish(
        original,
        grant_action{.request = original, .entry = options_.self, .endpoint = endpoint});
}

void grant_router::wait(waiting_request& waiting)
{
    waiting.asked = {};
    waiting.call = 0;
    waiting.retry_at = boot_now() + options_.retry_interval;
}

void grant_router::finish(request_id original, grant_reply const& reply)
{
    auto const found = waiting_.find(original);
    auto const answer = std::move(found->second.answer);
    waiting_.erase(found);
    answer(reply);
}

void grant_router::release(release_report const& report)
{
    auto const found = running_.find(report.request);
    if (found == running_.end())
        return;
    auto const running = found->second;
    running_.erase(found);
    registry_.on_end(running.asked);
    auto sent = report;
    sent.request = running.asked;

    // The owner of now has the grant registered, whoever gave it
    auto const owner = holder_.owner_hint(options_.cell, boot_now());
    send_release(sent, owner ? owner : running.owner);
    if (owner && owner != running.owner)
        send_release(sent, running.owner);
}

void grant_router::withdraw(request_id request)
{
    auto const found = waiting_.find(request);
    if (found == waiting_.end())
        return;
    auto const waiting = std::move(found->second);
    waiting_.erase(found);
    if (!waiting.asked)
        return;
    if (waiting.owner == options_.self)
        return local_.withdraw(waiting.asked);

    // A grant that is on its way is released as well
    peers_.cancel(waiting.owner, waiting.call);
    send_release(
        {.request = waiting.asked, .endpoint = {}, .reason = release_reason::cancelled},
        waiting.owner);
}

void grant_router::send_release(release_report const& report, host_id owner)
{
    if (owner == options_.self)
        return local_.release(report);
    peers_.call<cell_release>(
        owner, cell_release{.cell = options_.cell, .report = report}, release_timeout,
        [this, report, owner](std::error_code error, acknowledgement const&)
        {
            // An owner that is gone needs no release: its successor asked for what runs
            if (error && holder_.owner_hint(options_.cell, boot_now()) == owner &&
                releases_.size() < options_.max_releases)
                releases_.push_back({report, owner});
        });
}

void grant_router::on_tick()
{
    auto const now = boot_now();
    auto const unsent = std::exchange(releases_, {});
    for (auto const& each : unsent)
        send_release(each.report, each.owner);

    // Answers change the table, so that the due requests are listed first
    std::vector<request_id> due;
    for (auto const& [original, waiting] : waiting_)
        if (!waiting.asked && waiting.retry_at <= now)
            due.push_back(original);

    for (auto const& original : due)
    {
        auto const found = waiting_.find(original);
        if (found == waiting_.end())
            continue;
        auto& waiting = found->second;
        if (now < waiting.refuse_at && now < waiting.question.deadline)
        {
            ask(waiting);
            continue;
        }
        log_event(event::owner_unreachable, "request", original);
        finish(original, refuse_action{.request = original,
                                       .entry = options_.self,
                                       .reason = error_kind::owner_unreachable,
                                       .retry_after = owner_retry_after});
    }
}

void grant_router::serve(node_service& service,
                         std::function<std::uint64_t()> incarnation)
{
    service.on_grant = [this](cell_grant_request const& question,
                              reply_function<cell_grant_reply> const& reply)
    { answer_peer(question, reply); };
    service.on_grant_withdrawn = [this](resource_id, request_id request)
    { local_.withdraw(request); };
    service.on_release =
        [this](cell_release const& ended, reply_function<acknowledgement> const& reply)
    {
        // A request that still waits here is withdrawn by its release
        local_.withdraw(ended.report.request);
        local_.release(ended.report);
        reply({.accepted = true});
    };
    service.on_recall =
        [this, incarnation = std::move(incarnation)](
            grant_recall const& recall, reply_function<grant_list> const& reply)
    {
        if (auto const list = on_recall(recall, incarnation()))
            reply(*list);
    };
}

std::optional<grant_list> grant_router::on_recall(grant_recall const& recall,
                                                  std::uint64_t incarnation)
{
    holder_.on_hint(recall.cell, recall.owner, recall.fencing_number);
    return registry_.on_recall(boot_now(), recall, incarnation);
}

void grant_router::answer_peer(cell_grant_request const& question,
                               reply_function<cell_grant_reply> const& reply)
{
    auto const now = boot_now();
    auto const asked = question.question.request;
    if (question.cell != options_.cell ||
        holder_.hold_status(options_.cell, now) == lease_status::none)
    {
        reply({.request = asked,
               .decision =
                   cell_grant_reply::not_owner{holder_.owner_hint(options_.cell, now)}});
        return;
    }

    local_.request(question.question, [this, asked, reply](grant_reply const& decided)
                   { reply(make_reply(asked, decided)); });
}

} // namespace marjorampath::serving
