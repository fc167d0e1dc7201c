#pragma once

#include <marjorampath/core/store_position.hpp>

#include <compare>
#include <cstdint>

namespace marjorampath
{

/// How far a host has the data that the operator publishes.
struct operator_position
{
    /// The newest change of an item up to which all changes are known; zero if none is.
    store_position change;
    /// Last change of the configuration, by far the largest item; zero if there is none.
    /// It may be newer than `change`.
    store_position configuration;
    /// The operator's own version of the configuration, if it is newer than the one that
    /// the restored store has; otherwise zero.
    std::uint64_t kept_configuration = 0;

    friend auto operator<=>(operator_position const&, operator_position const&) = default;
};

} // namespace marjorampath
