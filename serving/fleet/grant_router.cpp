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

// Timeout of a release sent to an owner; it is then sent again
constexpr duration release_timeout = std::chrono::seconds(1);

// Advised retry delay of a request that is refused because no owner decides it or too
// many requests are pending
constexpr duration owner_retry_after = std::chrono::seconds(1);

held_grant make_held_grant(grant_request const& request, request_id attempt,
                           endpoint_id endpoint, time_point now)
{
    return {.request = attempt,
            .endpoint = endpoint,
            .adapter = request.adapter,
            .fingerprint = request.fingerprint,
            .remaining = std::max(duration{0}, request.deadline - now),
            .kind = request.endpoints,
            .team = request.team,
            .isolated = request.isolated};
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
        .request = [this](grant_request const& request, grant_callback answer)
        { start(request, std::move(answer)); },
        .release = [this](release_report const& report) { release(report); },
        .withdraw = [this](request_id request) { withdraw(request); },
    };
}

void grant_router::start(grant_request const& request, grant_callback answer)
{
    if (pending_.size() >= options_.max_pending_requests)
    {
        answer(refuse_action{.request = request.request,
                             .entry = request.entry,
                             .reason = error_kind::queue_full,
                             .retry_after = owner_retry_after});
        return;
    }
    auto const now = boot_now();
    auto const added = pending_.emplace(
        request.request,
        pending_grant_request{.request = request,
                              .answer = std::move(answer),
                              .refuse_at = now + options_.max_owner_wait});
    if (added.second)
        send_request(added.first->second);
}

void grant_router::send_request(pending_grant_request& pending)
{
    auto const now = boot_now();
    auto const owner = holder_.owner_hint(options_.cell, now);
    auto const hold_status = holder_.hold_status(options_.cell, now);
    if (!owner || (owner == options_.self && hold_status == lease_status::none))
        return retry_later(pending);

    // A new id for each attempt: late replies and releases of earlier ones do not match
    pending.attempt =
        request_id(hash_combine(pending.request.request.number(), ++attempt_count_));
    pending.owner = owner;
    if (owner == options_.self)
        request_locally(pending);
    else
        request_remotely(pending);
}

void grant_router::request_locally(pending_grant_request& pending)
{
    auto request = pending.request;
    request.request = pending.attempt;
    auto const original = pending.request.request;
    local_.request(request,
                   [this, original, attempt = pending.attempt](grant_reply const& reply)
                   { on_reply(original, attempt, make_reply(attempt, reply)); });
}

cell_grant_reply grant_router::make_reply(request_id attempt,
                                          grant_reply const& decision) const
{
    cell_grant_reply reply{.request = attempt, .fencing_number = fencing_number_};
    if (auto const* grant = std::get_if<grant_action>(&decision))
        reply.decision = cell_grant_reply::granted{grant->endpoint};
    else if (auto const* refusal = std::get_if<refuse_action>(&decision))
        reply.decision = cell_grant_reply::refused{refusal->reason, refusal->retry_after};
    return reply;
}

void grant_router::request_remotely(pending_grant_request& pending)
{
    auto const now = boot_now();
    cell_grant_request message{.cell = options_.cell, .request = pending.request};
    message.request.request = pending.attempt;
    auto const original = pending.request.request;
    auto const timeout =
        std::max<duration>(pending.request.deadline - now, options_.retry_interval);
    pending.call = peers_.call<cell_grant_request>(
        pending.owner, message, timeout,
        [this, original, attempt = pending.attempt,
         owner = pending.owner](std::error_code error, cell_grant_reply const& reply)
        {
            if (!error)
                return on_reply(original, attempt, reply);

            // The owner may have granted the request before the call failed
            send_release(
                {.request = attempt, .endpoint = {}, .reason = release_reason::cancelled},
                owner);
            auto const found = pending_.find(original);
            if (found != pending_.end() && found->second.attempt == attempt)
                retry_later(found->second);
        });
}

void grant_router::on_reply(request_id original, request_id attempt,
                            cell_grant_reply const& reply)
{
    auto const* granted = std::get_if<cell_grant_reply::granted>(&reply.decision);
    auto const found = pending_.find(original);
    if (found == pending_.end() || found->second.attempt != attempt)
        return;

    auto& pending = found->second;
    if (granted)
        return accept_grant(pending, reply.fencing_number, granted->endpoint);
    if (auto const* refused = std::get_if<cell_grant_reply::refused>(&reply.decision))
    {
        // A cell that lost its lease refuses with this reason; another owner may grant
        // the request
        if (refused->reason == error_kind::owner_unreachable)
            return retry_later(pending);
        return complete(original, refuse_action{.request = original,
                                                .entry = options_.self,
                                                .reason = refused->reason,
                                                .retry_after = refused->retry_after});
    }

    auto const owner = std::get<cell_grant_reply::not_owner>(reply.decision).owner;
    if (owner && owner != pending.owner)
        holder_.on_hint(options_.cell, owner, reply.fencing_number);
    retry_later(pending);
}

void grant_router::accept_grant(pending_grant_request& pending, std::uint64_t number,
                                endpoint_id endpoint)
{
    auto const now = boot_now();
    auto const original = pending.request.request;
    auto const held = make_held_grant(pending.request, pending.attempt, endpoint, now);

    // A later owner has recalled this host's grants and does not know of this one
    if (!registry_.on_grant(now, options_.cell, number, held))
    {
        send_release({.request = pending.attempt,
                      .endpoint = endpoint,
                      .reason = release_reason::cancelled},
                     pending.owner);
        return retry_later(pending);
    }
    running_.emplace(original,
                     running_request{.attempt = pending.attempt, .owner = pending.owner});
    complete(
        original,
        grant_action{.request = original, .entry = options_.self, .endpoint = endpoint});
}

void grant_router::retry_later(pending_grant_request& pending)
{
    pending.attempt = {};
    pending.call = 0;
    pending.retry_at = boot_now() + options_.retry_interval;
}

void grant_router::complete(request_id original, grant_reply const& reply)
{
    auto const found = pending_.find(original);
    auto const answer = std::move(found->second.answer);
    pending_.erase(found);
    answer(reply);
}

void grant_router::release(release_report const& report)
{
    auto const found = running_.find(report.request);
    if (found == running_.end())
        return;
    auto const running = found->second;
    running_.erase(found);
    registry_.on_end(running.attempt);
    auto sent = report;
    sent.request = running.attempt;

    // The current owner has the grant registered, even if an earlier owner issued it
    auto const owner = holder_.owner_hint(options_.cell, boot_now());
    send_release(sent, owner ? owner : running.owner);
    if (owner && owner != running.owner)
        send_release(sent, running.owner);
}

void grant_router::withdraw(request_id request)
{
    auto const found = pending_.find(request);
    if (found == pending_.end())
        return;
    auto const pending = std::move(found->second);
    pending_.erase(found);
    if (!pending.attempt)
        return;
    if (pending.owner == options_.self)
        return local_.withdraw(pending.attempt);

    // Also releases a grant whose reply is still in transit
    peers_.cancel(pending.owner, pending.call);
    send_release(
        {.request = pending.attempt, .endpoint = {}, .reason = release_reason::cancelled},
        pending.owner);
}

void grant_router::send_release(release_report const& report, host_id owner)
{
    if (owner == options_.self)
        return local_.release(report);
    peers_.call<cell_release>(
        owner, cell_release{.cell = options_.cell, .report = report}, release_timeout,
        [this, report, owner](std::error_code error, acknowledgement const&)
        {
            // A former owner needs no release: its successor recalls the running requests
            if (error && holder_.owner_hint(options_.cell, boot_now()) == owner &&
                unacknowledged_releases_.size() < options_.max_unacknowledged_releases)
                unacknowledged_releases_.push_back({report, owner});
        });
}

void grant_router::on_tick()
{
    auto const now = boot_now();
    auto const unsent = std::exchange(unacknowledged_releases_, {});
    for (auto const& each : unsent)
        send_release(each.report, each.owner);

    // Answers modify the map, so the due requests are collected first
    std::vector<request_id> due;
    for (auto const& [original, pending] : pending_)
        if (!pending.attempt && pending.retry_at <= now)
            due.push_back(original);

    for (auto const& original : due)
    {
        auto const found = pending_.find(original);
        if (found == pending_.end())
            continue;
        auto& pending = found->second;
        if (now < pending.refuse_at && now < pending.request.deadline)
        {
            send_request(pending);
            continue;
        }
        log_event(event::owner_unreachable, "request", original);
        complete(original, refuse_action{.request = original,
                                         .entry = options_.self,
                                         .reason = error_kind::owner_unreachable,
                                         .retry_after = owner_retry_after});
    }
}

void grant_router::serve(node_service& service,
                         std::function<std::uint64_t()> incarnation)
{
    service.on_grant = [this](cell_grant_request const& message,
                              reply_function<cell_grant_reply> const& reply)
    { serve_peer_request(message, reply); };
    service.on_grant_withdrawn = [this](resource_id, request_id request)
    { local_.withdraw(request); };
    service.on_release =
        [this](cell_release const& ended, reply_function<acknowledgement> const& reply)
    {
        // The release also withdraws a request that is still queued here
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

void grant_router::serve_peer_request(cell_grant_request const& message,
                                      reply_function<cell_grant_reply> const& reply)
{
    auto const now = boot_now();
    auto const attempt = message.request.request;
    if (message.cell != options_.cell ||
        holder_.hold_status(options_.cell, now) == lease_status::none)
    {
        reply({.request = attempt,
               .decision =
                   cell_grant_reply::not_owner{holder_.owner_hint(options_.cell, now)}});
        return;
    }

    local_.request(message.request, [this, attempt, reply](grant_reply const& decision)
                   { reply(make_reply(attempt, decision)); });
}

} // namespace marjorampath::serving
