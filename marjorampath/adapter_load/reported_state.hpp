#pragma once

#include <cstdint>
#include <string_view>

namespace marjorampath
{

/// State of an adapter in an engine's report.
enum class reported_state : std::uint8_t
{
    /// Not listed.
    absent,
    /// Being loaded.
    loading,
    /// Loaded.
    loaded
};

/// The name of a state for log messages.
std::string_view to_string(reported_state state) noexcept;

} // namespace marjorampath
