#include <marjorampath/core/hash.hpp>
#include <marjorampath/sheet/csv_table.hpp>
#include <marjorampath/sheet/sheet_manifest.hpp>

#include <fmt/format.h>

#include <charconv>
#include <xxhash.h>

namespace marjorampath
{

namespace
{

bool parse_number(std::string_view text, std::uint64_t& number)
{
    auto const* end = text.data() + text.size();
    auto const [stop, error] = std::from_chars(text.data(), end, number);
    return error == std::errc{} && stop == end;
}

} // namespace

std::string sheet_manifest::to_csv() const
{
    std::string text = fmt::format("record,name,value\nsheet,number,{}\n", number);
    for (auto const& part : parts)
        text += fmt::format("part,{},{}\n", part.name, part.digest);
    return text;
}

std::uint64_t sheet_manifest::digest() const
{
    return hash_bytes(to_csv());
}

std::string sheet_part_digest(std::string_view text)
{
    auto const digest = XXH3_128bits(text.data(), text.size());
    return fmt::format("{:016x}{:016x}", digest.high64, digest.low64);
}

sheet_manifest make_sheet_manifest(std::uint64_t number,
                                   std::span<sheet_part const> parts)
{
    sheet_manifest manifest{.number = number, .parts = {}};
    for (auto const& part : parts)
        manifest.parts.push_back({part.name, sheet_part_digest(part.text)});
    return manifest;
}

std::variant<sheet_manifest, std::vector<sheet_problem>>
read_sheet_manifest(std::string_view text)
{
    std::vector<sheet_problem> problems;
    sheet_part const part{.name = "manifest", .text = std::string(text)};
    auto const rows = read_csv_table<3>(part, {"record", "name", "value"}, problems);
    auto const reject = [&](std::uint32_t line, char const* column, std::string problem) {
        problems.push_back({part.name, line, column, std::move(problem)});
    };

    sheet_manifest manifest;
    for (auto const& row : rows)
    {
        auto const& [record, name, value] = row.fields;
        if (record == "part")
            manifest.parts.push_back({name, value});
        else if (record != "sheet" || name != "number")
            reject(row.line, "record",
                   "row begins with neither `sheet,number` nor `part`");
        else if (!parse_number(value, manifest.number))
            reject(row.line, "value", "is not a whole number");
    }

    // The number orders the sheets, so it is required
    if (problems.empty() && manifest.number == 0)
        reject(0, "", "row `sheet,number,N` is missing or N is 0");

    if (!problems.empty())
        return problems;
    return manifest;
}

} // namespace marjorampath
