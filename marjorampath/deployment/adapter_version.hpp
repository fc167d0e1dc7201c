#pragma once

#include <cstdint>
#include <string>

namespace marjorampath
{

/// A new adapter version that the operator announced; `versioned_adapter` is one at an
/// engine.
struct adapter_version
{
    /// `MODEL/ADAPTER`, as in requests.
    std::string adapter;
    /// Version number; higher is newer.
    std::uint64_t version = 0;
};

} // namespace marjorampath
