#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/store_position.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace marjorampath
{

/// A version of an adapter that an engine has loaded or is loading.
struct versioned_adapter
{
    /// `MODEL/ADAPTER`, as in requests.
    std::string name;
    std::uint64_t version = 0;

    friend bool operator==(versioned_adapter const&, versioned_adapter const&) = default;
};

/// An endpoint's own entry in service discovery.
struct endpoint_announcement
{
    /// Hash of the name.
    endpoint_id id;
    /// Name of the instance; sent with each request to it.
    std::string name;
    /// Position of the entry's last change.
    store_position position;
    /// Start time of the endpoint's process, in wall-clock milliseconds. A restart under
    /// the same name changes it; the new process holds no state of the old one.
    std::uint64_t started_at_ms = 0;
    /// Version of its software, not of its models; empty if it announces none. What two
    /// versions write does not fit together in one stream.
    std::string software_version;
    /// Service that it belongs to.
    service_id service;
    std::string address;
    std::uint16_t port = 0;
    zone_id zone;
    /// Number of requests that it runs concurrently; unrelated to adapter slots.
    std::uint32_t slots = 1;
    /// Whether it is shutting down and must get no new requests.
    bool draining = false;
    /// Base models that it has loaded.
    std::vector<std::string> models;
    /// Adapters that it has loaded.
    std::vector<versioned_adapter> adapters;

    friend bool operator==(endpoint_announcement const&,
                           endpoint_announcement const&) = default;
};

} // namespace marjorampath
