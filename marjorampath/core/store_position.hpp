#pragma once

#include <compare>
#include <cstdint>

namespace marjorampath
{

/// A position in the history of the configuration store.
///
/// A store that is restored from an older copy loses its last changes and gives their
/// revisions out again. It starts a new era, so that positions of two eras are ordered by
/// the era alone.
struct store_position
{
    /// Number of times that the store was restored, as it tells; zero if it does not.
    std::uint64_t era = 0;
    /// Revision within the era.
    std::uint64_t revision = 0;

    friend constexpr auto operator<=>(store_position const&,
                                      store_position const&) = default;
};

} // namespace marjorampath
