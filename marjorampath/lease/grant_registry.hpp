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

/// The requests that an entry host runs under grants, with the cell of each. Only the
/// owner with the highest known fencing number of a cell is accepted: a grant of an
/// earlier owner that arrives after a later owner requested the grant list is rejected,
/// because the later owner does not know of it.
class grant_registry
{
public:
    /// Creates an empty registry for the entry host `self`.
    explicit grant_registry(host_id self);

    /// Registers a grant; called before the request is sent to its endpoint. Returns
    /// false if the grant is from a superseded owner and must not be used: the entry host
    /// then has to request one from the new owner.
    bool on_grant(time_point now, resource_id cell, std::uint64_t fencing_number,
                  held_grant const& grant);

    /// Removes a request that has ended. Returns the cell of its grant, or nothing if the
    /// request is unknown.
    std::optional<resource_id> on_end(request_id request);

    /// Returns the list of grants for a new owner, or nothing if an owner with a higher
    /// fencing number is known.
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
        resource_id cell;
        // The grant as received
        held_grant grant;
        // Deadline of the request on this host's clock
        time_point deadline;
    };

    // This host
    host_id self_;
    // Grants by request
    std::unordered_map<request_id, entry> grants_;
    // Highest fencing number known for each cell
    std::unordered_map<resource_id, std::uint64_t> highest_numbers_;
};

} // namespace marjorampath
