#pragma once

#include <chrono>
#include <cstdint>

namespace marjorampath::test
{

/// The host's monotonic clock in milliseconds, common to all processes of a soak.
inline std::int64_t monotonic_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

} // namespace marjorampath::test
