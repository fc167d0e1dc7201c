#pragma once

#include <marjorampath/sheet/sheet_part.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace marjorampath
{

/// Answers a `sheet_request`.
struct sheet_reply
{
    /// Number of the sheet in force at the answerer, zero for none.
    std::uint64_t number = 0;
    /// Its manifest as CSV; empty where it is not newer than the asker's.
    std::string manifest;
    /// The parts that the asker lacks.
    std::vector<sheet_part> parts;
};

} // namespace marjorampath
