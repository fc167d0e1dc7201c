#pragma once

#include <marjorampath/freshness/freshness_messages.hpp>
#include <marjorampath/lease/lease_release.hpp>
#include <marjorampath/lease/lease_reply.hpp>
#include <marjorampath/lease/lease_request.hpp>
#include <marjorampath/peer/load_messages.hpp>
#include <marjorampath/peer/peer_heartbeat.hpp>
#include <marjorampath/peer/usage_report.hpp>
#include <marjorampath/rate_limit/permit_messages.hpp>
#include <marjorampath/stream_origin/stream_origin.hpp>
#include <marjorampath/stream_origin/stream_origin_messages.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace marjorampath::serving
{

/// The messages between entry hosts.
using peer_message =
    std::variant<peer_heartbeat, lease_request, lease_reply, lease_release, load_request,
                 load_reply, usage_report, engine_status, permit_request, permit_reply,
                 rate_limit_notice, stream_origin, stream_origin_query,
                 stream_origin_reply, freshness_query, freshness_reply>;

/// Encodes a message as one datagram: a Cap'n Proto message in packed form.
std::string encode_peer_message(peer_message const& message);

/// Decodes a datagram; nothing if it is malformed or of an unknown kind.
std::optional<peer_message> decode_peer_message(std::string_view bytes);

} // namespace marjorampath::serving
