#include <marjorampath/core/hash.hpp>
#include <marjorampath/sheet/sheet_packer.hpp>

#include <fmt/format.h>

#include <string_view>
#include <utility>

namespace marjorampath
{

namespace
{

// Removes the first line from a text and returns it with its line end
std::string_view pop_line(std::string_view& text)
{
    auto const end = text.find('\n');
    auto const size = end == std::string_view::npos ? text.size() : end + 1;
    auto const line = text.substr(0, size);
    text.remove_prefix(size);
    return line;
}

void split_table(sheet_part const& table, std::size_t limit,
                 std::vector<sheet_part>& parts)
{
    std::string_view remaining = table.text;
    std::string header(pop_line(remaining));
    if (!header.ends_with('\n'))
        header += '\n';

    std::string text = header;
    std::size_t index = 0;
    auto const finish_part = [&]
    {
        parts.push_back({fmt::format("{}-{}", table.name, index++), std::move(text)});
        text = header;
    };

    while (!remaining.empty())
    {
        auto const row = pop_line(remaining);
        if (text.size() > header.size() && text.size() + row.size() > limit)
            finish_part();
        text += row;
        if (hash_bytes(row) % mean_sheet_part_rows == 0)
            finish_part();
    }

    // A table without rows is still published
    if (text.size() > header.size() || index == 0)
        finish_part();
}

} // namespace

packed_sheet pack_sheet(std::uint64_t number, std::span<sheet_part const> tables,
                        std::size_t limit)
{
    packed_sheet packed;
    for (auto const& table : tables)
        split_table(table, limit, packed.parts);
    packed.manifest = make_sheet_manifest(number, packed.parts);
    return packed;
}

} // namespace marjorampath
