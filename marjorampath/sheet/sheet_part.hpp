#pragma once

#include <cstddef>
#include <string>

namespace marjorampath
{

/// The largest size of one part, in bytes: the limit of the configuration service for one
/// value.
inline constexpr std::size_t max_sheet_part_bytes = 1'000'000;

/// One published value: CSV text with the rows of one table. Fields are quoted as in RFC
/// 4180, but each row is one line, lines that begin with `#` are comments, and blanks
/// around fields are dropped.
///
/// The name is `TABLE` or `TABLE-N`, where TABLE is one of `endpoint_kinds`, `services`,
/// `adapters` and `non_idempotent`.
struct sheet_part
{
    /// Name of the part.
    std::string name;
    /// CSV text, with a header row.
    std::string text;
};

} // namespace marjorampath
