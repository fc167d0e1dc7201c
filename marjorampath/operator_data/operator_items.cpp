#include <marjorampath/operator_data/operator_items.hpp>

#include <algorithm>
#include <utility>

namespace marjorampath
{

bool operator_items::store(std::string const& key, item changed)
{
    if (changed.position == store_position{})
        return false;
    auto& known = items_[key];
    auto const is_later = changed.position > known.position;
    auto const both_versioned = changed.version != 0 && known.version != 0;
    auto const replaces = both_versioned && changed.version != known.version
                              ? changed.version > known.version
                              : is_later;
    if (is_later)
        note_change(changed.position);
    changed.position = std::max(changed.position, known.position);
    if (!replaces)
    {
        known.kept = known.kept || (is_later && changed.version < known.version);
        known.position = changed.position;
        return false;
    }
    changed.kept = changed.kept || !is_later;
    known = std::move(changed);
    return true;
}

void operator_items::note_change(store_position position)
{
    newest_change_ = std::max(newest_change_, position);
    if (position <= complete_)
        last_complete_change_ = std::max(last_complete_change_, position);
}

void operator_items::note_complete(store_position position)
{
    if (position <= complete_)
        return;
    complete_ = position;
    if (newest_change_ <= position)
    {
        last_complete_change_ = newest_change_;
        return;
    }
    for (auto const& [key, each] : items_)
        if (each.position <= position)
            last_complete_change_ = std::max(last_complete_change_, each.position);
}

operator_items::item const* operator_items::find(std::string const& key) const
{
    auto const found = items_.find(key);
    return found != items_.end() ? &found->second : nullptr;
}

store_position operator_items::position_of(std::string const& key) const
{
    auto const* known = find(key);
    return known ? known->position : store_position{};
}

std::size_t operator_items::kept() const
{
    return static_cast<std::size_t>(std::count_if(
        items_.begin(), items_.end(), [](auto const& each) { return each.second.kept; }));
}

} // namespace marjorampath
