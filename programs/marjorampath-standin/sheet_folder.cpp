#include <programs/marjorampath-standin/sheet_folder.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace marjorampath::standin
{

std::vector<sheet_part> read_sheet_folder(std::filesystem::path const& folder)
{
    std::vector<sheet_part> parts;
    for (auto const& entry : std::filesystem::directory_iterator(folder))
    {
        auto const& path = entry.path();
        if (path.extension() != ".csv" || path.stem() == "manifest")
            continue;
        std::ifstream file(path, std::ios::binary);
        if (!file)
            throw std::runtime_error("cannot read " + path.string());
        std::string text{std::istreambuf_iterator<char>(file), {}};
        parts.push_back({.name = path.stem().string(), .text = std::move(text)});
    }
    std::sort(parts.begin(), parts.end(),
              [](auto const& left, auto const& right) { return left.name < right.name; });
    return parts;
}

} // namespace marjorampath::standin
