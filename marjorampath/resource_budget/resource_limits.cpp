#include <marjorampath/resource_budget/resource_limits.hpp>

#include <algorithm>

namespace marjorampath
{

namespace
{

// Objects and coroutine frames of a connection, in bytes
constexpr std::size_t session_bytes = 8'192;
constexpr std::size_t endpoint_session_bytes = 4'096;

// Part of the descriptors and memory of one connection, by class
struct class_share
{
    // In 32nds of all descriptors. Each request of a caller or host needs a connection to
    // an endpoint
    std::size_t descriptors;
    // In bytes
    std::size_t memory;
};

constexpr std::size_t descriptor_parts = 32;
constexpr std::array<class_share, connection_classes> shares{
    class_share{10, session_bytes + receive_buffer_bytes + message_allowance_bytes},
    class_share{2, session_bytes + receive_buffer_bytes + message_allowance_bytes},
    class_share{12, endpoint_session_bytes + receive_buffer_bytes},
    class_share{4, session_bytes + receive_buffer_bytes}};

// Least connections of a class
constexpr std::size_t min_connections = 4;

} // namespace

resource_limits divide_resources(machine_resources const& machine)
{
    resource_limits limits;
    auto const held_bytes = machine.memory_bytes / 8 * 5;
    auto const most_connection_bytes = held_bytes / 2;
    std::size_t wanted_bytes = 0;
    for (auto const& share : shares)
        wanted_bytes +=
            machine.descriptors * share.descriptors / descriptor_parts * share.memory;

    auto const scale = wanted_bytes <= most_connection_bytes
                           ? 1.0
                           : static_cast<double>(most_connection_bytes) /
                                 static_cast<double>(wanted_bytes);
    std::size_t connection_bytes = 0;
    for (std::size_t index = 0; index < shares.size(); ++index)
    {
        auto const& share = shares.at(index);
        auto const wanted = machine.descriptors * share.descriptors / descriptor_parts;
        auto& places = limits.connections.at(index);
        places = std::max(min_connections,
                          static_cast<std::size_t>(static_cast<double>(wanted) * scale));
        connection_bytes += places * share.memory;
    }
    limits.message_bytes = held_bytes - std::min(held_bytes, connection_bytes);
    limits.host_message_bytes = limits.message_bytes / 2;
    limits.connection_message_bytes = limits.message_bytes / 2;
    return limits;
}

} // namespace marjorampath
