#pragma once

#include <marjorampath/core/identifier.hpp>

namespace marjorampath
{

/// The home's acknowledgement of a `key_complete`.
struct key_complete_reply
{
    /// Shard of the key.
    resource_id shard;
    /// The key.
    key_id key;
    /// The attempt.
    request_id request;
    /// Whether the home took the report; false where it is not the home.
    bool accepted = false;
};

} // namespace marjorampath
