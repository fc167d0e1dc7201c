#include <marjorampath/gossip/message_size.hpp>

namespace marjorampath
{

namespace
{

// Bytes of a word, and of each pointer
constexpr std::size_t word = 8;

} // namespace

std::size_t encoded_size(host_record const& /*record*/) noexcept
{
    // Host, zone, region, incarnation, counter with state
    return 5 * word;
}

std::size_t encoded_size(gossip const& news) noexcept
{
    // Number and digest, four list pointers with a tag word each
    auto size = 2 * word + 8 * word;
    size += news.hosts.size() * encoded_size(host_record{});
    size += news.leases.size() * 3 * word;
    size += news.convictions.size() * 5 * word;
    size += news.releases.size() * 3 * word;
    return size;
}

std::size_t encoded_size(probe const& message) noexcept
{
    return message_overhead + 4 * word + encoded_size(message.sender) +
           encoded_size(message.news);
}

std::size_t encoded_size(probe_reply const& message) noexcept
{
    return message_overhead + 4 * word + encoded_size(message.sender) +
           encoded_size(message.news);
}

std::size_t encoded_size(indirect_probe const& message) noexcept
{
    return message_overhead + 4 * word + encoded_size(message.sender) +
           encoded_size(message.news);
}

std::size_t encoded_size(lease_request const& message) noexcept
{
    return message_overhead + 5 * word + message.wants.size() * 2 * word;
}

std::size_t encoded_size(lease_reply const& message) noexcept
{
    return message_overhead + 7 * word + message.verdicts.size() * 5 * word;
}

std::size_t encoded_size(lease_release const& message) noexcept
{
    return message_overhead + 6 * word + message.resources.size() * 2 * word;
}

} // namespace marjorampath
