#pragma once

#include <cstdint>
#include <string>

namespace marjorampath
{

/// A version of an adapter, newly announced by the operator.
struct adapter_version
{
    /// `MODEL/ADAPTER`, as requests name it.
    std::string adapter;
    /// The version.
    std::uint64_t version = 0;
};

} // namespace marjorampath
