#include <marjorampath/sheet/sheet_diff.hpp>
#include <marjorampath/sheet/sheet_reader.hpp>
#include <programs/marjorampathctl/exit_code.hpp>
#include <programs/marjorampathctl/sheet_command.hpp>
#include <serving/sheet_files/sheet_files.hpp>

#include <boost/json.hpp>

#include <fmt/format.h>

#include <charconv>
#include <optional>

namespace marjorampath::ctl
{

namespace
{

namespace json = boost::json;

using packed_or_problems = std::variant<packed_sheet, std::vector<sheet_problem>>;

int report_problems(std::vector<sheet_problem> const& problems, bool as_json)
{
    if (as_json)
    {
        json::array rows;
        for (auto const& problem : problems)
            rows.push_back(json::object{{"part", problem.part},
                                        {"row", problem.line},
                                        {"column", problem.column},
                                        {"text", problem.text}});
        fmt::print("{}\n",
                   json::serialize(json::object{{"ok", false}, {"problems", rows}}));
        return failure;
    }

    for (auto const& problem : problems)
        fmt::print(stderr, "{}\n", problem.to_string());
    fmt::print(stderr, "rejected: {} problem(s)\n", problems.size());
    return failure;
}

int usage_error(std::string_view text)
{
    fmt::print(stderr, "marjorampathctl: {}\n", text);
    return usage;
}

// Opens a folder of exported tables, packed as sheet `number`, or of a packed sheet
packed_or_problems open_sheet(std::string const& folder, std::uint64_t number)
{
    if (std::filesystem::exists(std::filesystem::path(folder) / "sheet" / "manifest"))
        return serving::read_packed_sheet(folder);
    return serving::pack_sheet_folder(folder, number);
}

// Reads and validates the sheet of a folder
sheet_or_problems check_folder(std::string const& folder, std::uint64_t number)
{
    auto opened = open_sheet(folder, number);
    if (auto* problems = std::get_if<std::vector<sheet_problem>>(&opened))
        return std::move(*problems);
    auto const& packed = std::get<packed_sheet>(opened);
    return read_sheet(packed.manifest, packed.parts);
}

int check(std::string const& folder, bool as_json)
{
    auto const result = check_folder(folder, 1);
    if (auto const* problems = std::get_if<std::vector<sheet_problem>>(&result))
        return report_problems(*problems, as_json);

    auto const& tables = std::get<std::shared_ptr<sheet const>>(result)->tables();
    if (as_json)
        fmt::print("{}\n", json::serialize(json::object{
                               {"ok", true},
                               {"services", tables.services.size()},
                               {"adapters", tables.adapters.size()},
                               {"endpoint_kinds", tables.endpoint_kinds.size()},
                               {"non_idempotent", tables.non_idempotent.size()}}));
    else
        fmt::print("ok: {} services, {} adapters, {} endpoint kinds, {} non-idempotent "
                   "operations\n",
                   tables.services.size(), tables.adapters.size(),
                   tables.endpoint_kinds.size(), tables.non_idempotent.size());
    return success;
}

// The positive number that the whole text is, or nothing
std::optional<std::uint64_t> parse_number(std::string const& text)
{
    std::uint64_t number = 0;
    auto const* end = text.data() + text.size();
    auto const [parsed_end, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc{} || parsed_end != end || number == 0)
        return std::nullopt;
    return number;
}

int pack(std::string const& folder, std::string const& number_text,
         std::string const& output, bool as_json)
{
    auto const number = parse_number(number_text);
    if (!number)
        return usage_error("the sheet's number must be a positive integer");

    auto packed = serving::pack_sheet_folder(folder, *number);
    if (auto const* problems = std::get_if<std::vector<sheet_problem>>(&packed))
        return report_problems(*problems, as_json);

    // Do not write a sheet that fails validation
    auto const& contents = std::get<packed_sheet>(packed);
    auto const checked = read_sheet(contents.manifest, contents.parts);
    if (auto const* problems = std::get_if<std::vector<sheet_problem>>(&checked))
        return report_problems(*problems, as_json);

    auto const problems = serving::write_packed_sheet(contents, output);
    if (!problems.empty())
        return report_problems(problems, as_json);
    fmt::print("packed sheet {} in {} part(s) to {}\n", *number, contents.parts.size(),
               output);
    return success;
}

int diff(std::string const& before_folder, std::string const& after_folder, bool as_json)
{
    auto const before = check_folder(before_folder, 1);
    if (auto const* problems = std::get_if<std::vector<sheet_problem>>(&before))
        return report_problems(*problems, as_json);
    auto const after = check_folder(after_folder, 2);
    if (auto const* problems = std::get_if<std::vector<sheet_problem>>(&after))
        return report_problems(*problems, as_json);

    auto const changes = compare_sheets(*std::get<0>(before), *std::get<0>(after));
    json::array rows;
    for (auto const& change : changes)
    {
        if (as_json)
            rows.push_back(json::object{{"change", to_string(change.kind)},
                                        {"table", change.table},
                                        {"row", change.row},
                                        {"before", change.before},
                                        {"after", change.after}});
        else
            fmt::print("{:<8} {:<15} {:<32} {} -> {}\n", to_string(change.kind),
                       change.table, change.row, change.before, change.after);
    }
    if (as_json)
        fmt::print("{}\n", json::serialize(rows));
    else
        fmt::print("{} difference(s)\n", changes.size());
    return success;
}

} // namespace

int run_sheet_command(std::vector<std::string> const& arguments, bool json)
{
    if (arguments.size() == 2 && arguments[0] == "check")
        return check(arguments[1], json);
    if (arguments.size() == 4 && arguments[0] == "pack")
        return pack(arguments[1], arguments[2], arguments[3], json);
    if (arguments.size() == 3 && arguments[0] == "diff")
        return diff(arguments[1], arguments[2], json);
    return usage_error("sheet: expected `check FOLDER`, `pack FOLDER NUMBER OUTPUT` or "
                       "`diff OLD NEW`");
}

} // namespace marjorampath::ctl
