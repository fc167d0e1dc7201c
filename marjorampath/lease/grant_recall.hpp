#pragma once

#include <marjorampath/core/identifier.hpp>

#include <cstdint>

namespace marjorampath
{

/// A new owner's question to an entry host: which grants do you hold in this cell?
/// Answered by a `grant_list`.
struct grant_recall
{
    /// The cell.
    resource_id cell;
    /// Owner that asks.
    host_id owner;
    /// Its fencing number.
    std::uint64_t fencing_number = 0;
};

} // namespace marjorampath
