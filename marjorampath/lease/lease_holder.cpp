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
            hand_over(now, claim, {}, actions);
    }
    claims_ = std::move(kept);
    choose_preferred();
}

void lease_holder::choose_preferred()
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
    choose_preferred();
}

void lease_holder::on_tick(time_point now, wall_milliseconds wall, lease_actions& actions)
{
    // A pause: the world may have moved on, so nothing is believed any more
    if (last_tick_ && now - *last_tick_ > options_.tick_gap)
        drop_all(now, lease_loss::paused, actions);
    last_tick_ = now;

    std::vector<resource_id> due;
    for (auto& [resource, claim] : claims_)
    {
        settle_claim(now, claim, actions);
        rebalance(now, claim, actions);
        if (claim.next_request > now || !wants(now, claim))
            continue;
        due.push_back(resource);
        claim.next_request = now + options_.renew_interval;

        // A granted lease without a usable number gets one
        if (!claim.number_is_highest() &&
            claim.granted_until(witnesses_, options_.quorum()) > now)
        {
            claim.held = false;
            claim.choose_number(number_floor(wall));
        }
    }
    send_requests(now, due, actions);

    std::erase_if(pending_, [&](auto const& entry)
                  { return entry.second.sent_at + options_.term < now; });
}

bool lease_holder::wants(time_point now, lease_claim const& claim) const
{
    if (leaving_ || claim.yield_until > now)
        return false;
    return claim.fencing_number() != 0 || claim.preferred == self_;
}

void lease_holder::settle_claim(time_point now, lease_claim& claim,
                                lease_actions& actions)
{
    auto const quorum = options_.quorum();
    auto const confirmed = claim.confirmed_until(witnesses_, quorum) > now;
    if (confirmed && !claim.held)
    {
        claim.held = true;
        claim.announced = true;
        claim.held_last = true;
        actions.push_back(lease_acquired{.resource = claim.resource().resource,
                                         .fencing_number = claim.fencing_number(),
                                         .previous_number = claim.previous_number()});
    }

    // Without any quorum, the next time counts as a new holding with a new number
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
    auto const better = claim.preferred;
    if (!better || better == self_)
        return claim.foreign_since.reset();
    if (!claim.foreign_since)
        claim.foreign_since = now;
    if (now - *claim.foreign_since >= options_.rebalance_delay)
        hand_over(now, claim, better, actions);
}

void lease_holder::hand_over(time_point now, lease_claim& claim, host_id successor,
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
    claim.held_last = false;
    claim.hinted_holder = successor;
    claim.yield_until = now + options_.term;

    // Answers to requests from before the release count no more
    for (auto& [number, request] : pending_)
        std::erase_if(request.wants,
                      [&](auto const& want) { return want.resource == resource; });
}

void lease_holder::drop_all(time_point now, lease_loss reason, lease_actions& actions)
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
    // New leases are asked for everywhere, held ones renewed at as many as are needed
    std::vector<lease_want> fresh;
    std::vector<lease_want> all;
    for (auto const& resource : due)
    {
        auto const& claim = claims_.at(resource);
        all.push_back({resource, claim.fencing_number()});
        if (!claim.held)
            fresh.push_back(all.back());
    }
    auto const renewing = renewal_witnesses();
    for (auto const& witness : witnesses_)
    {
        auto const renews =
            std::find(renewing.begin(), renewing.end(), witness) != renewing.end();
        send_request(now, witness, renews ? all : fresh, actions);
    }
}

std::vector<host_id> lease_holder::renewal_witnesses() const
{
    // Each holder prefers others, so that the load is spread
    auto order = rendezvous_order<host_tag, host_tag>(self_, witnesses_);
    auto const silence = [&](host_id witness)
    {
        auto const found = unanswered_.find(witness);
        return found != unanswered_.end() ? found->second : 0;
    };
    std::stable_sort(order.begin(), order.end(),
                     [&](host_id left, host_id right)
                     { return silence(left) < silence(right); });
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

    std::vector<resource_id> chosen;
    for (auto const& verdict : reply.verdicts)
    {
        auto const claim = claims_.find(verdict.resource);
        if (claim == claims_.end())
            continue;
        auto& known = claim->second;

        // A lease that ended meanwhile is not continued by this reply
        settle_claim(now, known, actions);
        take_verdict(now, known, verdict, request, actions);

        // The number is chosen at the quorum's grant and sent at once; again where a
        // witness knows a higher one
        if (!known.number_is_highest() &&
            known.granted_until(witnesses_, options_.quorum()) > now)
        {
            known.held = false;
            known.choose_number(number_floor(wall));
            known.next_request = now + options_.renew_interval;
            chosen.push_back(verdict.resource);
        }
        settle_claim(now, known, actions);
    }
    send_requests(now, chosen, actions);
}

void lease_holder::take_verdict(time_point now, lease_claim& claim,
                                lease_verdict const& verdict,
                                pending_request const& request, lease_actions& actions)
{
    auto const want =
        std::find_if(request.wants.begin(), request.wants.end(),
                     [&](auto const& sent) { return sent.resource == verdict.resource; });
    if (want == request.wants.end())
        return;

    claim.exceed(verdict.highest_fencing_number);
    if (verdict.granted)
    {
        auto const until = request.sent_at + options_.term - options_.clock_margin;
        claim.add_grant(request.witness, until, want->fencing_number,
                        verdict.highest_fencing_number);
        return;
    }
    if (!verdict.holder || verdict.holder == self_)
        return;

    // Another host has this witness: wait for the end of its lease. Of two hosts with a
    // part of the witnesses each, the less preferred one gives way.
    claim.hinted_holder = verdict.holder;
    if (claim.held)
        return;
    claim.held_last = false;
    if (claim.granted_until(witnesses_, options_.quorum()) <= now)
        claim.next_request = now + std::min(verdict.remaining, options_.term);
    if (claim.has_grants() && goes_before(claim.resource(), verdict.holder, self_))
    {
        hand_over(now, claim, verdict.holder, actions);
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
        found->second.exceed(want.fencing_number);
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
    found->second.exceed(number);
    if (found->second.fencing_number() <= number)
        raise_number(now, wall, resource);
}

void lease_holder::raise_number(time_point now, wall_milliseconds wall,
                                resource_id resource)
{
    auto const found = claims_.find(resource);
    if (found == claims_.end() || found->second.fencing_number() == 0)
        return;

    // Not held until confirmed, but the grants of the witnesses stay
    auto& claim = found->second;
    claim.choose_number(number_floor(wall));
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
    claim.exceed(fencing_number);
    claim.hinted_holder = holder;
    if (holder != self_ && fencing_number > claim.fencing_number())
        claim.held_last = false;
}

void lease_holder::leave(time_point now, lease_actions& actions)
{
    leaving_ = true;
    for (auto& [resource, claim] : claims_)
    {
        if (claim.held || claim.has_grants())
            hand_over(now, claim, preferred(claim.resource(), self_), actions);
    }
}

std::uint64_t lease_holder::number_floor(wall_milliseconds wall) noexcept
{
    auto const seconds = std::chrono::duration_cast<std::chrono::seconds>(wall).count();
    return static_cast<std::uint64_t>(seconds) << 16U;
}

} // namespace marjorampath
