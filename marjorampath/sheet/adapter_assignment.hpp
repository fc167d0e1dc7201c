#pragma once

#include <marjorampath/core/identifier.hpp>

#include <string>

namespace marjorampath
{

/// One row of the sheet's `adapters` table: the adapter version that a service uses.
struct adapter_assignment
{
    /// Service that may use the adapter.
    service_id service;
    /// Hash of the adapter's name.
    adapter_id adapter;
    /// Adapter version: hash of `ADAPTER@VERSION`. Not unique, since services can share a
    /// version.
    adapter_version_id id;
    /// Name of the adapter, as callers write it.
    std::string adapter_name;
    /// Version that the sheet assigns.
    std::string version;

    /// The name `ADAPTER@VERSION` under which engines load the version. Requests to
    /// engines use it, so that no other version can answer them.
    [[nodiscard]] std::string qualified_name() const
    {
        return adapter_name + '@' + version;
    }
};

} // namespace marjorampath
