#pragma once

#include <optional>
#include <set>
#include <string>

namespace marjorampath
{

/// The software versions of a service's endpoints that can have begun a stream.
struct possible_versions
{
    /// Whether no other version can have.
    bool complete = false;
    /// Whether no other version can have if the caller tells the stream's age truly and
    /// each host lists an endpoint's end when this one does. That is enough beside other
    /// evidence for a version.
    bool complete_as_told = false;
    /// Versions of the endpoints that are present.
    std::set<std::string> present;
    /// Versions of processes that have ended.
    std::set<std::string> ended;

    /// The only version that can have begun the stream; empty if there may be several.
    [[nodiscard]] std::optional<std::string> only() const
    {
        auto all = present;
        all.insert(ended.begin(), ended.end());
        return complete && all.size() == 1 ? std::optional(*all.begin()) : std::nullopt;
    }

    /// Whether a process of another version that has ended can have begun it.
    [[nodiscard]] bool another_ended(std::string const& version) const
    {
        return ended.size() > (ended.contains(version) ? 1U : 0U);
    }
};

} // namespace marjorampath
