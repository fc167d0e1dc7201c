#include <marjorampath/lease/grant_registry.hpp>

#include <algorithm>

namespace marjorampath
{

grant_registry::grant_registry(host_id self) : self_(self) {}

bool grant_registry::on_grant(time_point now, resource_id cell,
                              std::uint64_t fencing_number, held_grant const& grant)
{
    auto& number = highest_numbers_[cell];
    if (fencing_number < number)
        return false;
    number = fencing_number;
    grants_[grant.request] = {
        .cell = cell, .grant = grant, .deadline = now + grant.remaining};
    return true;
}

std::optional<resource_id> grant_registry::on_end(request_id request)
{
    auto const found = grants_.find(request);
    if (found == grants_.end())
        return std::nullopt;
    auto const cell = found->second.cell;
    grants_.erase(found);
    return cell;
}

std::optional<grant_list> grant_registry::on_recall(time_point now,
                                                    grant_recall const& recall,
                                                    std::uint64_t incarnation)
{
    auto& number = highest_numbers_[recall.cell];
    if (recall.fencing_number < number)
        return std::nullopt;
    number = recall.fencing_number;

    grant_list list{.entry = self_,
                    .entry_incarnation = incarnation,
                    .cell = recall.cell,
                    .fencing_number = recall.fencing_number,
                    .grants = {}};
    for (auto const& [request, held] : grants_)
    {
        if (held.cell != recall.cell)
            continue;
        list.grants.push_back(held.grant);
        list.grants.back().remaining = std::max(duration{0}, held.deadline - now);
    }
    std::sort(list.grants.begin(), list.grants.end(),
              [](auto const& left, auto const& right)
              { return left.request < right.request; });
    return list;
}

} // namespace marjorampath
