#include <marjorampath/limits/team_share.hpp>
#include <marjorampath/placement/request_queue.hpp>

#include <algorithm>
#include <cassert>

namespace marjorampath
{

bool request_order::operator()(pending_request const* left,
                               pending_request const* right) const noexcept
{
    if (left->received.priority != right->received.priority)
        return left->received.priority > right->received.priority;
    return left->sequence < right->sequence;
}

void request_queue::add(pending_request* request)
{
    auto found = std::find_if(teams_.begin(), teams_.end(),
                              [&](team_queue const& queue)
                              { return (*queue.begin())->team == request->team; });
    if (found == teams_.end())
        found = teams_.emplace(teams_.end());
    found->insert(request);
    ++size_;
    service_seconds_ += request->service_seconds;
}

void request_queue::remove(pending_request* request)
{
    auto const found = std::find_if(teams_.begin(), teams_.end(),
                                    [&](team_queue const& queue)
                                    { return (*queue.begin())->team == request->team; });
    assert(found != teams_.end());
    [[maybe_unused]] auto const erased = found->erase(request);
    assert(erased == 1);
    --size_;
    service_seconds_ = size_ > 0 ? service_seconds_ - request->service_seconds : 0;

    // Erases the queue of a team without requests, so that no queue is empty
    if (found->empty())
        teams_.erase(found);
}

pending_request* request_queue::first() const noexcept
{
    pending_request* best = nullptr;
    for (auto const& queue : teams_)
    {
        auto* const head = *queue.begin();
        if (best == nullptr || head->team->virtual_time < best->team->virtual_time)
            best = head;
    }
    return best;
}

pending_request const* request_queue::oldest() const noexcept
{
    pending_request const* oldest = nullptr;
    for (auto const& queue : teams_)
    {
        auto const* const head = *queue.begin();
        if (oldest == nullptr || head->sequence < oldest->sequence)
            oldest = head;
    }
    return oldest;
}

} // namespace marjorampath
