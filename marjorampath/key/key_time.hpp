#pragma once

#include <marjorampath/core/time.hpp>

#include <optional>
#include <string_view>

namespace marjorampath
{

/// The time that an idempotency key carries where it is a UUID of version 7 (RFC 9562) in
/// its text form, or nothing.
std::optional<wall_milliseconds> key_time_of(std::string_view key) noexcept;

} // namespace marjorampath
