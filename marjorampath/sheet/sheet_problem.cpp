#include <marjorampath/sheet/sheet_problem.hpp>

#include <fmt/format.h>

namespace marjorampath
{

std::string sheet_problem::to_string() const
{
    if (line == 0)
        return fmt::format("{}: {}", part, text);
    if (column.empty())
        return fmt::format("{}:{}: {}", part, line, text);
    return fmt::format("{}:{}:{}: {}", part, line, column, text);
}

} // namespace marjorampath
