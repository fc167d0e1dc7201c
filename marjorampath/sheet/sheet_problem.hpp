#pragma once

#include <cstdint>
#include <string>

namespace marjorampath
{

/// One reason for which a sheet is rejected, with its place.
struct sheet_problem
{
    /// Name of the part or `manifest`.
    std::string part;
    /// Line in the part, counted from 1; zero where the whole part is meant.
    std::uint32_t row = 0;
    /// Name of the column; empty where the whole row is meant.
    std::string column;
    /// What is wrong, as one sentence.
    std::string text;

    /// The problem as one line: `part:row:column: text`.
    [[nodiscard]] std::string to_string() const;
};

} // namespace marjorampath
