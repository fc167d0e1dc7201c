#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/lease/grant_list.hpp>
#include <marjorampath/lease/grant_recall.hpp>

#include <cstdint>
#include <optional>
#include <unordered_map>

namespace marjorampath
{

/// What an entry host runs under grants, by cell. It obeys the owner with the highest
/// fencing number: a grant of an earlier owner that arrives after a later one asked for
/// the registrations is not used, since the later owner does not know of it.
class grant_registry
{
public:
    /// Makes an entry host that runs nothing.
    explicit grant_registry(host_id self);

    /// Notes a grant, before the request is sent. False where the grant must not be used:
    /// the request is to be asked for again at the new owner.
    bool on_grant(time_point now, resource_id cell, std::uint64_t fencing_number,
                  held_grant const& grant);

    /// Notes that a request no longer runs. The cell it ran in, or nothing.
    std::optional<resource_id> on_end(request_id request);

    /// Answers a new owner; nothing where a later owner is known.
    std::optional<grant_list> on_recall(time_point now, grant_recall const& recall,
                                        std::uint64_t incarnation);

    /// Number of grants held.
    [[nodiscard]] std::size_t size() const noexcept
    {
        return grants_.size();
    }

private:
    struct entry
    {
        // Cell of the grant
        resource_id cell;
        // The grant as noted
        held_grant grant;
        // Deadline of the request
        time_point deadline;
    };

    // This host
    host_id self_;
    // Grants by request
    std::unordered_map<request_id, entry> grants_;
    // Highest fencing number known of each cell
    std::unordered_map<resource_id, std::uint64_t> numbers_;
};

} // namespace marjorampath
