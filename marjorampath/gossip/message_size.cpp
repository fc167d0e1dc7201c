#include <marjorampath/gossip/message_size.hpp>

namespace marjorampath
{

namespace
{

// Size of a Cap'n Proto word and of a pointer, in bytes
constexpr std::size_t word_bytes = 8;

} // namespace

std::size_t encoded_size(host_record const& /*record*/) noexcept
{
    // Host, zone, region, incarnation, counter with state
    return 5 * word_bytes;
}

std::size_t encoded_size(gossip const& updates) noexcept
{
    // Sheet number and digest, then four list pointers with a tag word each
    auto size = 2 * word_bytes + 8 * word_bytes;
    size += updates.hosts.size() * encoded_size(host_record{});
    size += updates.leases.size() * 3 * word_bytes;
    size += updates.convictions.size() * 5 * word_bytes;
    size += updates.releases.size() * 3 * word_bytes;
    return size;
}

std::size_t encoded_size(probe const& message) noexcept
{
    return message_overhead + 4 * word_bytes + encoded_size(message.sender) +
           encoded_size(message.updates);
}

std::size_t encoded_size(probe_reply const& message) noexcept
{
    return message_overhead + 4 * word_bytes + encoded_size(message.sender) +
           encoded_size(message.updates);
}

std::size_t encoded_size(indirect_probe const& message) noexcept
{
    return message_overhead + 4 * word_bytes + encoded_size(message.sender) +
           encoded_size(message.updates);
}

std::size_t encoded_size(lease_request const& message) noexcept
{
    return message_overhead + 5 * word_bytes + message.wants.size() * 2 * word_bytes;
}

std::size_t encoded_size(lease_reply const& message) noexcept
{
    return message_overhead + 7 * word_bytes + message.verdicts.size() * 5 * word_bytes;
}

std::size_t encoded_size(lease_release const& message) noexcept
{
    return message_overhead + 6 * word_bytes + message.resources.size() * 2 * word_bytes;
}

} // namespace marjorampath
