#include <programs/marjorampathctl/json_table.hpp>

#include <boost/json.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <vector>

namespace marjorampath::ctl
{

namespace
{

namespace json = boost::json;

std::string scalar_text(json::value const& value)
{
    if (value.is_string())
        return json::value_to<std::string>(value);
    return json::serialize(value);
}

bool is_table(json::value const& value)
{
    auto const* rows = value.if_array();
    return rows && !rows->empty() && rows->front().is_object();
}

// One row of texts, padded to the widths
std::string format_row(std::vector<std::string> const& cells,
                       std::vector<std::size_t> const& widths)
{
    std::string row;
    for (std::size_t column = 0; column < cells.size(); ++column)
        row += fmt::format("{:<{}}  ", cells[column], widths[column]);
    row.erase(row.find_last_not_of(' ') + 1);
    return row + '\n';
}

std::string format_table(json::array const& rows)
{
    // The first row names the columns
    std::vector<std::string> columns;
    for (auto const& member : rows.front().get_object())
        columns.emplace_back(member.key_c_str());

    std::vector<std::vector<std::string>> table{columns};
    for (auto const& row : rows)
    {
        std::vector<std::string> cells;
        for (auto const& column : columns)
        {
            auto const* value =
                row.is_object() ? row.get_object().if_contains(column) : nullptr;
            cells.push_back(value ? scalar_text(*value) : "");
        }
        table.push_back(std::move(cells));
    }

    std::vector<std::size_t> widths(columns.size());
    for (auto const& cells : table)
        for (std::size_t column = 0; column < cells.size(); ++column)
            widths[column] = std::max(widths[column], cells[column].size());

    std::string text;
    for (auto const& cells : table)
        text += format_row(cells, widths);
    return text;
}

} // namespace

std::string format_json(json::value const& value)
{
    if (is_table(value))
        return format_table(value.get_array());
    if (!value.is_object())
        return scalar_text(value) + '\n';

    // Single values come before tables
    std::string text;
    for (auto const& member : value.get_object())
        if (!is_table(member.value()))
            text +=
                fmt::format("{}: {}\n", member.key_c_str(), scalar_text(member.value()));
    for (auto const& member : value.get_object())
        if (is_table(member.value()))
            text += fmt::format("\n{}\n{}", member.key_c_str(),
                                format_table(member.value().get_array()));
    return text;
}

} // namespace marjorampath::ctl
