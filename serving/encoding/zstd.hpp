#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace marjorampath::serving
{

/// Name of the zstd encoding in HTTP header fields.
inline constexpr char const* zstd_encoding = "zstd";

/// Compresses a text; empty if the library fails, as without memory.
std::string compress_zstd(std::string_view plain);

/// Decompresses a text; `std::nullopt` if it is damaged or larger than `max_bytes`.
std::optional<std::string> decompress_zstd(std::string_view compressed,
                                           std::size_t max_bytes);

} // namespace marjorampath::serving
