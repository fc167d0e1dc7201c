#include <marjorampath/operator_data/operator_items.hpp>

#include <algorithm>
#include <utility>

namespace marjorampath
{

bool operator_items::store(std::string const& key, item changed)
{
    if (changed.revision <= revision_of(key))
        return false;
    newest_change_ = std::max(newest_change_, changed.revision);
    if (changed.revision <= complete_revision_)
        last_complete_change_ = std::max(last_complete_change_, changed.revision);
    items_[key] = std::move(changed);
    return true;
}

void operator_items::note_complete(std::uint64_t revision)
{
    if (revision <= complete_revision_)
        return;
    complete_revision_ = revision;
    if (newest_change_ <= revision)
    {
        last_complete_change_ = newest_change_;
        return;
    }
    for (auto const& [key, each] : items_)
        if (each.revision <= revision)
            last_complete_change_ = std::max(last_complete_change_, each.revision);
}

std::uint64_t operator_items::revision_of(std::string const& key) const
{
    auto const found = items_.find(key);
    return found != items_.end() ? found->second.revision : 0;
}

} // namespace marjorampath
