#pragma once

#include <marjorampath/gossip/gossip.hpp>
#include <marjorampath/lease/lease_release.hpp>
#include <marjorampath/lease/lease_reply.hpp>
#include <marjorampath/lease/lease_request.hpp>
#include <marjorampath/membership/indirect_probe.hpp>
#include <marjorampath/membership/probe.hpp>
#include <marjorampath/membership/probe_reply.hpp>

#include <cstddef>

namespace marjorampath
{

/// Estimated sizes of messages in Cap'n Proto encoding, in bytes: eight for each word of
/// data or pointer, plus `message_overhead` for each message.

/// Bytes of a message besides its content: RPC call or return, segment table, TLS record,
/// and TCP and IP headers.
inline constexpr std::size_t message_overhead = 176;

/// Bytes of one host record.
std::size_t encoded_size(host_record const& record) noexcept;
/// Bytes of the gossip in a probe or reply.
std::size_t encoded_size(gossip const& updates) noexcept;
/// Bytes of a probe.
std::size_t encoded_size(probe const& message) noexcept;
/// Bytes of a reply to a probe.
std::size_t encoded_size(probe_reply const& message) noexcept;
/// Bytes of an indirect probe.
std::size_t encoded_size(indirect_probe const& message) noexcept;
/// Bytes of a lease request.
std::size_t encoded_size(lease_request const& message) noexcept;
/// Bytes of a witness's reply to a lease request.
std::size_t encoded_size(lease_reply const& message) noexcept;
/// Bytes of a lease release.
std::size_t encoded_size(lease_release const& message) noexcept;

} // namespace marjorampath
