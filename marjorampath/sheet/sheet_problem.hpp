#pragma once

#include <cstdint>
#include <string>

namespace marjorampath
{

/// One reason for rejecting a sheet, with its location.
struct sheet_problem
{
    /// Name of the part or `manifest`.
    std::string part;
    /// Line in the part, counted from 1; zero if the problem concerns the whole part.
    std::uint32_t line = 0;
    /// Name of the column; empty if the problem concerns the whole line.
    std::string column;
    /// What is wrong, as a phrase that follows the location.
    std::string text;

    /// The problem as one line: `part:line:column: text`.
    [[nodiscard]] std::string to_string() const;
};

} // namespace marjorampath
