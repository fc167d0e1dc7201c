#pragma once

#include <compare>
#include <cstdint>

namespace marjorampath
{

/// How far a host has the data that the operator publishes.
struct operator_position
{
    /// The newest change of an item up to which all changes are known, as a revision of
    /// the configuration store; zero if none is.
    std::uint64_t revision = 0;
    /// Revision of the configuration, by far the largest item; zero if there is none. It
    /// may be newer than `revision`.
    std::uint64_t configuration_revision = 0;

    friend auto operator<=>(operator_position const&, operator_position const&) = default;
};

} // namespace marjorampath
