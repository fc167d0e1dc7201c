#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace marjorampath
{

/// Longest key of a caller, in bytes.
inline constexpr std::size_t max_key_bytes = 512;

/// The key that a caller sent with a request.
struct access_key
{
    /// The key; empty if there is none. A view of the request.
    std::string_view value;
    /// Whether there are several, or the key is longer than `max_key_bytes`.
    bool malformed = false;
};

/// Short digest by which a log line tells keys apart.
std::uint32_t key_digest(std::string_view key) noexcept;

/// Compares two keys in a time that depends on their lengths alone.
bool equal_keys(std::string_view first, std::string_view second) noexcept;

} // namespace marjorampath
