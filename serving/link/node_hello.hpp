#pragma once

#include <marjorampath/core/identifier.hpp>

#include <cstdint>

namespace marjorampath::serving
{

/// Version of the protocol between nodes that this program speaks. The previous version
/// is supported as well. Version 1 used different method numbers.
inline constexpr std::uint32_t node_protocol_version = 3;

/// The first message in each direction of a connection between nodes.
struct node_hello
{
    /// Protocol version of the sender.
    std::uint32_t version = node_protocol_version;
    /// The sender.
    host_id host;
    /// Incarnation of the sender.
    std::uint64_t incarnation = 0;
};

/// Whether this program can communicate with a node of that version: the previous, the
/// same or the next one.
constexpr bool is_compatible(std::uint32_t version) noexcept
{
    return version + 1 >= node_protocol_version && version <= node_protocol_version + 1;
}

} // namespace marjorampath::serving
