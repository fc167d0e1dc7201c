#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/key/key_begin.hpp>
#include <marjorampath/key/key_begin_reply.hpp>
#include <marjorampath/key/key_complete.hpp>
#include <marjorampath/key/key_complete_reply.hpp>
#include <marjorampath/key/key_copy.hpp>
#include <marjorampath/key/key_recovery_request.hpp>
#include <marjorampath/key/key_snapshot.hpp>

#include <variant>
#include <vector>

namespace marjorampath
{

/// Sends a message about a key to a host, which may be this one.
template <class Message>
struct send_key_message
{
    /// The receiver.
    host_id to;
    /// The message.
    Message message;
};

/// Tells this entry host what to do with a request of its own.
struct key_decided
{
    /// The request.
    request_id request;
    /// What to do. Never `not_home`.
    key_verdict verdict = key_verdict::unavailable;
    /// The remembered answer, for `replay`.
    std::string answer;
};

/// Asks for a higher fencing number for a shard's lease: `lease_holder::raise_number`.
struct raise_key_number
{
    /// The shard.
    resource_id shard;
};

/// What the machines of idempotency keys decided.
using key_action =
    std::variant<send_key_message<key_begin>, send_key_message<key_begin_reply>,
                 send_key_message<key_complete>, send_key_message<key_complete_reply>,
                 send_key_message<key_copy>, send_key_message<key_recovery_request>,
                 send_key_message<key_snapshot>, key_decided, raise_key_number>;

/// Decisions in the order in which they were made.
using key_actions = std::vector<key_action>;

} // namespace marjorampath
