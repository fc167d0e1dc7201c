#include <marjorampath/lease/lease_witness.hpp>

#include <algorithm>

namespace marjorampath
{

lease_witness::lease_witness(host_id self, lease_options options)
    : self_(self), options_(std::move(options))
{
}

lease_reply lease_witness::on_request(time_point now, lease_request const& request,
                                      std::uint64_t own_incarnation,
                                      witness_activation const& activation)
{
    lease_reply reply{.witness = self_,
                      .witness_incarnation = own_incarnation,
                      .request_number = request.request_number,
                      .active = activation.active(now),
                      .active_in = activation.active_in(now),
                      .verdicts = {}};
    for (auto const& want : request.wants)
        reply.verdicts.push_back(decide(now, request, want, reply.active));
    return reply;
}

lease_verdict lease_witness::decide(time_point now, lease_request const& request,
                                    lease_want const& want, bool active)
{
    lease_verdict verdict;
    verdict.resource = want.resource;
    auto found = leases_.find(want.resource);
    if (found == leases_.end())
    {
        // An inactive witness records no new resources, nor does a full one
        if (!active || leases_.size() >= options_.max_resources)
            return verdict;
        found = leases_.emplace(want.resource, lease{}).first;
    }

    auto& known = found->second;
    if (active && may_grant(now, request, known))
    {
        known.holder = request.holder;
        known.incarnation = request.holder_incarnation;
        known.request_number = request.request_number;
        known.ends = now + options_.term;
        known.successor = {};
        known.fencing_number = std::max(known.fencing_number, want.fencing_number);
        verdict.granted = true;
    }

    if (known.ends > now)
    {
        verdict.holder = known.holder;
        verdict.remaining = known.ends - now;
    }
    else if (known.successor && known.reserved_until > now)
    {
        verdict.holder = known.successor;
        verdict.remaining = known.reserved_until - now;
    }
    verdict.highest_fencing_number = known.fencing_number;
    return verdict;
}

bool lease_witness::may_grant(time_point now, lease_request const& request,
                              lease const& known)
{
    if (request.holder == known.holder)
    {
        // Requests of an earlier process, or sent before a release, may arrive late
        if (request.holder_incarnation != known.incarnation)
            return request.holder_incarnation > known.incarnation;
        if (request.request_number <= known.request_number)
            return false;
        return known.ends > now || !known.successor || known.reserved_until <= now ||
               known.successor == request.holder;
    }

    if (known.ends > now)
        return false;
    return !known.successor || known.reserved_until <= now ||
           known.successor == request.holder;
}

void lease_witness::on_release(time_point now, lease_release const& release)
{
    for (auto const& want : release.resources)
    {
        auto const found = leases_.find(want.resource);
        if (found == leases_.end())
            continue;

        auto& known = found->second;
        if (known.holder != release.holder ||
            known.incarnation != release.holder_incarnation)
            continue;

        // The holder has sent a new request since this release
        if (known.request_number > release.request_number)
            continue;
        known.request_number = release.request_number;
        known.ends = std::min(known.ends, now);
        known.successor = release.successor;
        known.reserved_until = now + options_.term;
        known.fencing_number = std::max(known.fencing_number, want.fencing_number);
    }
}

void lease_witness::forget_old(time_point now)
{
    std::erase_if(leases_, [&](auto const& entry)
                  { return entry.second.ends + options_.retention < now; });
}

} // namespace marjorampath
