#include <marjorampath/core/rendezvous.hpp>
#include <marjorampath/lease/lease_holder.hpp>
#include <marjorampath/lease/witness_choice.hpp>

#include <algorithm>

namespace marjorampath
{

lease_holder::lease_holder(host_id self, lease_options options)
    : self_(self), options_(std::move(options))
{
}

void lease_holder::set_resources(time_point now,
                                 std::vector<leased_resource> const& resources,
                                 lease_actions& actions)
{
    std::map<resource_id, lease_claim> kept;
    for (auto const& resource : resources)
    {
        auto const found = claims_.find(resource.resource);
        if (found != claims_.end() && found->second.resource() == resource)
            kept.insert(claims_.extract(found));
        else
            kept.emplace(resource.resource, lease_claim(resource));
    }

    for (auto& [resource, claim] : claims_)
    {
        if (!kept.contains(resource))
            release_lease(now, claim, {}, actions);
    }
    claims_ = std::move(kept);
    update_preferred_hosts();
}

void lease_holder::update_preferred_hosts()
{
    for (auto& [resource, claim] : claims_)
        claim.preferred = preferred(claim.resource());
}

void lease_holder::set_hosts(std::span<known_host const> hosts, std::uint64_t incarnation)
{
    incarnation_ = incarnation;
    witnesses_ = choose_witnesses(hosts, options_);
    std::erase_if(unanswered_,
                  [&](auto const& entry)
                  {
                      return std::find(witnesses_.begin(), witnesses_.end(),
                                       entry.first) == witnesses_.end();
                  });
    candidates_.clear();
    for (auto const& host : hosts)
    {
        if (host.eligible())
            candidates_.emplace(host.record.host, host.record.zone);
    }
    update_preferred_hosts();
}

void lease_holder::on_tick(time_point now, wall_milliseconds wall, lease_actions& actions)
{
    // The process was paused: other hosts may have taken over, so all leases are dropped
    if (last_tick_ && now - *last_tick_ > options_.tick_gap)
        drop_all_leases(now, lease_loss::paused, actions);
    last_tick_ = now;

    std::vector<resource_id> due;
    for (auto& [resource, claim] : claims_)
    {
        update_claim(now, claim, actions);
        rebalance(now, claim, actions);
        if (claim.next_request > now || !should_request(now, claim))
            continue;
        due.push_back(resource);
        claim.next_request = now + options_.renew_interval;

        // A granted lease without a usable fencing number gets a new number
        if (!claim.number_is_highest() &&
            claim.granted_until(witnesses_, options_.quorum()) > now)
        {
            claim.held = false;
            claim.choose_fencing_number(min_fencing_number(wall));
        }
    }
    send_requests(now, due, actions);

    std::erase_if(pending_, [&](auto const& entry)
                  { return entry.second.sent_at + options_.term < now; });
}

bool lease_holder::should_request(time_point now, lease_claim const& claim) const
{
    if (leaving_ || claim.yield_until > now)
        return false;
    return claim.fencing_number() != 0 || claim.preferred == self_;
}

void lease_holder::update_claim(time_point now, lease_claim& claim,
                                lease_actions& actions)
{
    auto const quorum = options_.quorum();
    auto const confirmed = claim.confirmed_until(witnesses_, quorum) > now;
    if (confirmed && !claim.held)
    {
        claim.held = true;
        claim.announced = true;
        claim.was_last_holder = true;
        actions.push_back(lease_acquired{.resource = claim.resource().resource,
                                         .fencing_number = claim.fencing_number(),
                                         .previous_number = claim.previous_number()});
    }

    // Without a quorum the lease has ended; the next one needs a new fencing number
    if (claim.granted_until(witnesses_, quorum) > now)
        return;
    auto const lost = claim.announced;
    if (claim.fencing_number() != 0)
        claim.clear();
    if (lost)
        actions.push_back(lease_lost{.resource = claim.resource().resource,
                                     .reason = lease_loss::expired});
}

void lease_holder::rebalance(time_point now, lease_claim& claim, lease_actions& actions)
{
    if (!claim.held)
        return;
    auto const preferred_host = claim.preferred;
    if (!preferred_host || preferred_host == self_)
        return claim.other_preferred_since.reset();
    if (!claim.other_preferred_since)
        claim.other_preferred_since = now;
    if (now - *claim.other_preferred_since >= options_.rebalance_delay)
        release_lease(now, claim, preferred_host, actions);
}

void lease_holder::release_lease(time_point now, lease_claim& claim, host_id successor,
                                 lease_actions& actions)
{
    auto const resource = claim.resource().resource;
    if (claim.announced)
        actions.push_back(
            lease_lost{.resource = resource, .reason = lease_loss::handed_over});

    lease_release const release{.holder = self_,
                                .holder_incarnation = incarnation_,
                                .request_number = request_number_,
                                .successor = successor,
                                .resources = {{resource, claim.fencing_number()}}};
    for (auto const& witness : witnesses_)
        actions.push_back(send_lease_release{.to = witness, .release = release});
    auto const is_witness =
        std::find(witnesses_.begin(), witnesses_.end(), successor) != witnesses_.end();
    if (successor && !is_witness)
        actions.push_back(send_lease_release{.to = successor, .release = release});

    claim.clear();
    claim.was_last_holder = false;
    claim.hinted_holder = successor;
    claim.yield_until = now + options_.term;

    // Replies to requests that were sent before the release no longer count
    for (auto& [number, request] : pending_)
        std::erase_if(request.wants,
                      [&](auto const& want) { return want.resource == resource; });
}

void lease_holder::drop_all_leases(time_point now, lease_loss reason,
                                   lease_actions& actions)
{
    for (auto& [resource, claim] : claims_)
    {
        if (claim.announced)
            actions.push_back(lease_lost{.resource = resource, .reason = reason});
        claim.clear();
        claim.next_request = now;
    }
    pending_.clear();
}

void lease_holder::send_requests(time_point now, std::vector<resource_id> const& due,
                                 lease_actions& actions)
{
    // Leases that are not held are requested from all witnesses; held ones are renewed at
    // a subset
    std::vector<lease_want> not_held;
    std::vector<lease_want> all;
    for (auto const& resource : due)
    {
        auto const& claim = claims_.at(resource);
        all.push_back({resource, claim.fencing_number()});
        if (!claim.held)
            not_held.push_back(all.back());
    }
    auto const renewing = renewal_witnesses();
    for (auto const& witness : witnesses_)
    {
        auto const renews =
            std::find(renewing.begin(), renewing.end(), witness) != renewing.end();
        send_request(now, witness, renews ? all : not_held, actions);
    }
}

std::vector<host_id> lease_holder::renewal_witnesses() const
{
    // The preferred witnesses differ by holder, which balances the load
    auto order = rendezvous_order<host_tag, host_tag>(self_, witnesses_);
    auto const unanswered_count = [&](host_id witness)
    {
        auto const found = unanswered_.find(witness);
        return found != unanswered_.end() ? found->second : 0;
    };
    std::stable_sort(order.begin(), order.end(),
                     [&](host_id left, host_id right)
                     { return unanswered_count(left) < unanswered_count(right); });
    auto const needed = static_cast<std::size_t>(options_.quorum()) + 1;
    if (order.size() > needed)
        order.resize(needed);
    return order;
}

void lease_holder::send_request(time_point now, host_id witness,
                                std::vector<lease_want> const& wants,
                                lease_actions& actions)
{
    if (wants.empty())
        return;
    ++request_number_;
    ++unanswered_[witness];
    pending_.emplace(request_number_,
                     pending_request{.witness = witness, .sent_at = now, .wants = wants});
    actions.push_back(send_lease_request{.to = witness,
                                         .request = {.holder = self_,
                                                     .holder_incarnation = incarnation_,
                                                     .request_number = request_number_,
                                                     .wants = wants}});
}

void lease_holder::on_reply(time_point now, wall_milliseconds wall,
                            lease_reply const& reply, lease_actions& actions)
{
    auto const found = pending_.find(reply.request_number);
    if (found == pending_.end() || found->second.witness != reply.witness)
        return;
    auto const request = std::move(found->second);
    pending_.erase(found);
    if (reply.active)
        unanswered_.erase(reply.witness);

    std::vector<resource_id> renumbered;
    for (auto const& verdict : reply.verdicts)
    {
        auto const claim = claims_.find(verdict.resource);
        if (claim == claims_.end())
            continue;
        auto& known = claim->second;

        // Detect expiry first: this reply must not extend a lease that has already ended
        update_claim(now, known, actions);
        process_verdict(now, known, verdict, request, actions);

        // Once a quorum has granted the lease, a fencing number is chosen and sent at
        // once; it is chosen again if a witness knows a higher one
        if (!known.number_is_highest() &&
            known.granted_until(witnesses_, options_.quorum()) > now)
        {
            known.held = false;
            known.choose_fencing_number(min_fencing_number(wall));
            known.next_request = now + options_.renew_interval;
            renumbered.push_back(verdict.resource);
        }
        update_claim(now, known, actions);
    }
    send_requests(now, renumbered, actions);
}

void lease_holder::process_verdict(time_point now, lease_claim& claim,
                                   lease_verdict const& verdict,
                                   pending_request const& request, lease_actions& actions)
{
    auto const want =
        std::find_if(request.wants.begin(), request.wants.end(),
                     [&](auto const& sent) { return sent.resource == verdict.resource; });
    if (want == request.wants.end())
        return;

    claim.observe_fencing_number(verdict.highest_fencing_number);
    if (verdict.granted)
    {
        auto const until = request.sent_at + options_.term - options_.clock_margin;
        claim.add_grant(request.witness, until, want->fencing_number,
                        verdict.highest_fencing_number);
        return;
    }
    if (!verdict.holder || verdict.holder == self_)
        return;

    // The witness has granted the lease to another host: wait until that grant ends. If
    // two hosts each have grants from some witnesses but neither has a quorum, the less
    // preferred one releases its grants.
    claim.hinted_holder = verdict.holder;
    if (claim.held)
        return;
    claim.was_last_holder = false;
    if (claim.granted_until(witnesses_, options_.quorum()) <= now)
        claim.next_request = now + std::min(verdict.remaining, options_.term);
    if (claim.has_grants() && is_preferred_over(claim.resource(), verdict.holder, self_))
    {
        release_lease(now, claim, verdict.holder, actions);
        claim.yield_until = now + verdict.remaining;
    }
}

void lease_holder::on_handover(time_point now, lease_release const& release)
{
    if (release.successor != self_)
        return;
    for (auto const& want : release.resources)
    {
        auto const found = claims_.find(want.resource);
        if (found == claims_.end())
            continue;
        found->second.observe_fencing_number(want.fencing_number);
        found->second.next_request = now;
        found->second.yield_until = {};
    }
}

void lease_holder::on_fencing_refused(time_point now, wall_milliseconds wall,
                                      resource_id resource, std::uint64_t number)
{
    auto const found = claims_.find(resource);
    if (found == claims_.end())
        return;
    found->second.observe_fencing_number(number);
    if (found->second.fencing_number() <= number)
        raise_fencing_number(now, wall, resource);
}

void lease_holder::raise_fencing_number(time_point now, wall_milliseconds wall,
                                        resource_id resource)
{
    auto const found = claims_.find(resource);
    if (found == claims_.end() || found->second.fencing_number() == 0)
        return;

    // Not held until the new number is confirmed; the witnesses' grants stay valid
    auto& claim = found->second;
    claim.choose_fencing_number(min_fencing_number(wall));
    claim.held = false;
    claim.next_request = now;
}

void lease_holder::on_hint(resource_id resource, host_id holder,
                           std::uint64_t fencing_number)
{
    auto const found = claims_.find(resource);
    if (found == claims_.end() || fencing_number <= found->second.hinted_number)
        return;
    auto& claim = found->second;
    claim.hinted_number = fencing_number;
    claim.observe_fencing_number(fencing_number);
    claim.hinted_holder = holder;
    if (holder != self_ && fencing_number > claim.fencing_number())
        claim.was_last_holder = false;
}

void lease_holder::leave(time_point now, lease_actions& actions)
{
    leaving_ = true;
    for (auto& [resource, claim] : claims_)
    {
        if (claim.held || claim.has_grants())
            release_lease(now, claim, preferred(claim.resource(), self_), actions);
    }
}

std::uint64_t lease_holder::min_fencing_number(wall_milliseconds wall) noexcept
{
    auto const seconds = std::chrono::duration_cast<std::chrono::seconds>(wall).count();
    return static_cast<std::uint64_t>(seconds) << 16U;
}

} // namespace marjorampath
