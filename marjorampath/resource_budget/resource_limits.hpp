#pragma once

#include <marjorampath/resource_budget/connection_class.hpp>

#include <array>
#include <cstddef>

namespace marjorampath
{

/// Bytes in a mebibyte.
inline constexpr std::size_t bytes_per_mebibyte = 1'048'576;

/// What one process may use of its machine.
struct machine_resources
{
    /// Memory, in bytes.
    std::size_t memory_bytes = 0;
    /// File descriptors.
    std::size_t descriptors = 0;
};

/// What a host may hold for others at most.
struct resource_limits
{
    /// Bytes of messages in all, beyond the allowance of each connection.
    std::size_t message_bytes = 0;
    /// The part of them that other hosts' requests may take.
    std::size_t host_message_bytes = 0;
    /// Bytes of messages that one connection may hold.
    std::size_t connection_message_bytes = 0;
    /// Open connections by class.
    std::array<std::size_t, connection_classes> connections{};

    /// Open connections of a class.
    [[nodiscard]] std::size_t connections_of(connection_class of) const
    {
        return connections.at(static_cast<std::size_t>(of));
    }
};

/// Size of the kernel's receive buffer of a connection, in bytes. What was received and
/// not read counts to the memory of the machine.
inline constexpr std::size_t receive_buffer_bytes = 16'384;

/// Size of the kernel's send buffer of a caller's connection, in bytes.
inline constexpr std::size_t send_buffer_bytes = 65'536;

/// Bytes of its messages that a connection may hold without a reservation, so that
/// ordinary requests are served while others hold all that can be reserved.
inline constexpr std::size_t message_allowance_bytes = 8'192;

/// Divides a machine: 3/8 of the memory is set aside for the program, its control state
/// and the allocator, and 1/8 of the descriptors for files and control connections that
/// this host opens itself. Connections, with their buffers and allowances, take at most
/// half of the other memory.
resource_limits divide_resources(machine_resources const& machine);

} // namespace marjorampath
