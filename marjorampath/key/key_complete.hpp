#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/key/key_state.hpp>

#include <string>

namespace marjorampath
{

/// An entry host's report to a key's home of how the allowed attempt ended. Sent again
/// until acknowledged.
struct key_complete
{
    /// Shard of the key.
    resource_id shard;
    /// The key.
    key_id key;
    /// The attempt.
    request_id request;
    /// Host that reports.
    host_id entry;
    /// How it ended: `answered`, `not_run` or `unknown`.
    key_state state = key_state::unknown;
    /// The whole answer, for `answered`.
    std::string answer;
};

} // namespace marjorampath
