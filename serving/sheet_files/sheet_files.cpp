#include <serving/sheet_files/sheet_files.hpp>

#include <array>
#include <fstream>
#include <iterator>
#include <optional>

namespace marjorampath::serving
{

namespace
{

// Tables of a sheet, in the order of publication
constexpr std::array table_names{"endpoint_kinds", "services", "adapters",
                                 "non_idempotent"};

std::optional<std::string> read_file(std::filesystem::path const& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return std::nullopt;
    return std::string(std::istreambuf_iterator<char>(file), {});
}

bool write_file(std::filesystem::path const& path, std::string const& text)
{
    std::ofstream file(path, std::ios::binary | std::ios::trunc);
    file << text;
    return static_cast<bool>(file.flush());
}

sheet_problem file_problem(std::filesystem::path const& path, char const* text)
{
    return {.part = path.string(), .line = 0, .column = {}, .text = text};
}

} // namespace

std::variant<packed_sheet, std::vector<sheet_problem>>
pack_sheet_folder(std::filesystem::path const& folder, std::uint64_t number)
{
    std::vector<sheet_part> tables;
    std::vector<sheet_problem> problems;
    for (auto const* name : table_names)
    {
        auto const path = folder / (std::string(name) + ".csv");
        auto text = read_file(path);
        if (text)
            tables.push_back({name, std::move(*text)});
        else
            problems.push_back(file_problem(path, "cannot be read"));
    }

    if (!problems.empty())
        return problems;
    return pack_sheet(number, tables);
}

std::vector<sheet_problem> write_packed_sheet(packed_sheet const& packed,
                                              std::filesystem::path const& folder)
{
    std::vector<sheet_problem> problems;
    std::error_code error;
    auto const part_folder = folder / "sheet" / "part";
    std::filesystem::create_directories(part_folder, error);
    if (error)
        return {file_problem(part_folder, "cannot be created")};

    for (std::size_t index = 0; index < packed.parts.size(); ++index)
    {
        auto const path = part_folder / packed.manifest.parts[index].digest;
        if (!write_file(path, packed.parts[index].text))
            problems.push_back(file_problem(path, "cannot be written"));
    }

    // Write the manifest last, so that it never refers to a part that does not exist yet
    auto const manifest = folder / "sheet" / "manifest";
    if (problems.empty() && !write_file(manifest, packed.manifest.to_csv()))
        problems.push_back(file_problem(manifest, "cannot be written"));
    return problems;
}

std::variant<packed_sheet, std::vector<sheet_problem>>
read_packed_sheet(std::filesystem::path const& folder)
{
    auto const manifest_path = folder / "sheet" / "manifest";
    auto const text = read_file(manifest_path);
    if (!text)
        return std::vector{file_problem(manifest_path, "cannot be read")};

    auto read = read_sheet_manifest(*text);
    if (auto* problems = std::get_if<std::vector<sheet_problem>>(&read))
        return std::move(*problems);

    packed_sheet packed{.manifest = std::get<sheet_manifest>(std::move(read)),
                        .parts = {}};
    for (auto const& entry : packed.manifest.parts)
    {
        auto const path = folder / "sheet" / "part" / entry.digest;
        auto part = read_file(path);
        if (!part)
            return std::vector{file_problem(path, "cannot be read")};
        packed.parts.push_back({entry.name, std::move(*part)});
    }
    return packed;
}

} // namespace marjorampath::serving
