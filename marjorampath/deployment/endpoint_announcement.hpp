#pragma once

#include <marjorampath/core/identifier.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace marjorampath
{

/// An adapter that an engine holds.
struct versioned_adapter
{
    /// `MODEL/ADAPTER`, as requests name it.
    std::string name;
    /// Version of the adapter.
    std::uint64_t version = 0;

    friend bool operator==(versioned_adapter const&, versioned_adapter const&) = default;
};

/// What an endpoint says of itself in service discovery.
struct endpoint_announcement
{
    /// Hash of the name.
    endpoint_id id;
    /// Name of the instance, which requests to it carry.
    std::string name;
    /// Revision of the entry; rises whenever it is written.
    std::uint64_t revision = 0;
    /// Start of the endpoint's process, in wall-clock milliseconds. An endpoint may start
    /// again under its name; it then holds nothing of before.
    std::uint64_t started_at_ms = 0;
    /// Its service.
    service_id service;
    /// IP address.
    std::string address;
    /// TCP port.
    std::uint16_t port = 0;
    /// Availability zone.
    zone_id zone;
    /// Requests that it runs at a time.
    std::uint32_t slots = 1;
    /// Whether it is leaving and must get no new work.
    bool draining = false;
    /// Base models that it holds.
    std::vector<std::string> models;
    /// Adapters that it holds.
    std::vector<versioned_adapter> adapters;
};

} // namespace marjorampath
