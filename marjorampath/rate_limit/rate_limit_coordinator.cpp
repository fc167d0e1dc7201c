#include <marjorampath/peer/peer_table.hpp>
#include <marjorampath/rate_limit/rate_limit_coordinator.hpp>

#include <algorithm>

namespace marjorampath
{

bool rate_limit_coordinator::apply(rate_limit_notice const& notice, time_point now)
{
    auto const changed = registry_.apply(notice, now);
    if (!registry_.limit_of(notice.endpoint))
        issuer_.forget(notice.endpoint);
    return changed;
}

void rate_limit_coordinator::forget(endpoint_id endpoint)
{
    registry_.forget(endpoint);
    issuer_.forget(endpoint);
}

rate_limit_coordinator::permit_step
rate_limit_coordinator::request_permit(endpoint_id endpoint, peer_table const& peers,
                                       time_point now)
{
    auto const limit = registry_.limit_of(endpoint);
    if (!limit)
        return {.granted = true};
    auto const owner = choose_permit_owner(peers, endpoint, now);
    if (owner.host != self_)
    {
        issuer_.forget(endpoint);
        return {.ask = owner.host};
    }
    auto const decision = issuer_.take(endpoint, *limit * owner.share, now);
    return {.granted = decision.granted, .wait = decision.wait};
}

permit_reply rate_limit_coordinator::on_request(permit_request const& request,
                                                peer_table const& peers, time_point now)
{
    auto const endpoint = request.limit.endpoint;
    auto const step = request_permit(endpoint, peers, now);
    return {.number = request.number,
            .granted = step.granted,
            .wait = step.ask ? options_.misdirected_pause : step.wait,
            .limit = registry_.notice_of(endpoint, now)};
}

std::vector<rate_limit_notice> rate_limit_coordinator::reported(peer_table const& peers,
                                                                time_point now) const
{
    auto found = registry_.notices(now, options_.ended_report_time);
    std::erase_if(found,
                  [&](auto const& each) {
                      return choose_permit_owner(peers, each.endpoint, now).host != self_;
                  });
    if (found.size() > options_.max_reported)
    {
        // The others learn of the rest by asking for a permit
        std::sort(found.begin(), found.end(),
                  [](auto const& left, auto const& right)
                  { return left.age < right.age; });
        found.resize(options_.max_reported);
    }
    return found;
}

} // namespace marjorampath
