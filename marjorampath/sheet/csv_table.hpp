#pragma once

#include <marjorampath/sheet/sheet_part.hpp>
#include <marjorampath/sheet/sheet_problem.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#ifndef CSV_IO_NO_THREAD
#define CSV_IO_NO_THREAD
#endif
#include <libfccp/csv.h>

namespace marjorampath
{

/// One row of a CSV table with `Columns` columns.
template <std::size_t Columns>
struct csv_row
{
    /// Line in the part, counted from 1.
    std::uint32_t line = 0;
    /// Fields in the order of the columns passed to `read_csv_table`.
    std::array<std::string, Columns> fields;
};

/// Quotes a field if RFC 4180 requires it.
std::string quote_csv_field(std::string_view field);

/// Reads the rows of a part. The header must consist of exactly `columns`, in any order.
/// The first malformed row (too few or too many fields, an unclosed quote) is reported in
/// `problems` and ends the reading; the rows before it are returned.
template <std::size_t Columns>
std::vector<csv_row<Columns>> read_csv_table(sheet_part const& part,
                                             std::array<char const*, Columns> columns,
                                             std::vector<sheet_problem>& problems)
{
    using quoting = io::double_quote_escape<',', '"'>;
    std::vector<csv_row<Columns>> rows;
    io::CSVReader<Columns, io::trim_chars<' ', '\t', '\r'>, quoting,
                  io::throw_on_overflow, io::single_and_empty_line_comment<'#'>>
        reader(part.name, part.text.data(), part.text.data() + part.text.size());

    // The library expects the columns as separate arguments
    auto const read_all = [&]<std::size_t... Index>(std::index_sequence<Index...>)
    {
        reader.read_header(io::ignore_no_column, columns[Index]...);
        csv_row<Columns> row;
        while (reader.read_row(row.fields[Index]...))
        {
            row.line = reader.get_file_line();
            rows.push_back(row);
        }
    };

    try
    {
        read_all(std::make_index_sequence<Columns>{});
    }
    catch (io::error::base const& error)
    {
        problems.push_back({.part = part.name,
                            .line = static_cast<std::uint32_t>(reader.get_file_line()),
                            .column = {},
                            .text = error.what()});
    }
    return rows;
}

} // namespace marjorampath
