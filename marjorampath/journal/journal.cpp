#include <marjorampath/journal/journal.hpp>

#include <utility>

namespace marjorampath
{

void journal::add(journal_entry entry)
{
    ++counts_.at(static_cast<std::size_t>(entry.reason));
    entries_.push_back(std::move(entry));
    if (entries_.size() <= limit_)
        return;
    entries_.pop_front();
    ++dropped_;
}

std::vector<journal_entry> journal::since(wall_milliseconds time,
                                          std::string const& team) const
{
    std::vector<journal_entry> found;
    for (auto const& entry : entries_)
        if (entry.at >= time && (team.empty() || entry.team == team))
            found.push_back(entry);
    return found;
}

std::vector<journal_count> journal::counts() const
{
    std::vector<journal_count> found;
    for (std::size_t kind = 0; kind < counts_.size(); ++kind)
        if (counts_.at(kind) > 0)
            found.push_back({static_cast<error_kind>(kind), counts_.at(kind)});
    return found;
}

} // namespace marjorampath
