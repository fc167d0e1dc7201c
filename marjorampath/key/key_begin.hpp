#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>

#include <optional>

namespace marjorampath
{

/// An entry host's question to a key's home: may this request run?
struct key_begin
{
    /// Shard of the key.
    resource_id shard;
    /// The key within its caller's scope.
    key_id key;
    /// Content of the request.
    fingerprint_id fingerprint;
    /// This attempt; unique across hosts.
    request_id request;
    /// Host that asks and will send the request.
    host_id entry;
    /// Time that the key carries (UUIDv7), nothing where it carries none.
    std::optional<wall_milliseconds> key_time;
};

} // namespace marjorampath
