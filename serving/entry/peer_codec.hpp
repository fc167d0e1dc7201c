#pragma once

#include <marjorampath/lease/lease_release.hpp>
#include <marjorampath/lease/lease_reply.hpp>
#include <marjorampath/lease/lease_request.hpp>
#include <marjorampath/peer/load_messages.hpp>
#include <marjorampath/peer/peer_heartbeat.hpp>
#include <marjorampath/peer/usage_report.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace marjorampath::serving
{

/// What entry hosts send each other.
using peer_message =
    std::variant<peer_heartbeat, lease_request, lease_reply, lease_release, load_request,
                 load_reply, usage_report, engine_status>;

/// A message as the bytes of one datagram: a Cap'n Proto message in packed form.
std::string encode_peer_message(peer_message const& message);

/// The message of a datagram, or nothing where the bytes are none.
std::optional<peer_message> decode_peer_message(std::string_view bytes);

} // namespace marjorampath::serving
