#include <serving/settings/settings_field.hpp>
#include <serving/settings/settings_file.hpp>

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <numeric>
#include <set>
#include <utility>

namespace marjorampath::serving
{

namespace
{

// Name of the setting that sets others
constexpr std::string_view profile_name = "policy.profile";

// Reads one file, collecting problems
class settings_reader
{
public:
    explicit settings_reader(std::string file) : file_(std::move(file)) {}

    void read(std::string const& text)
    {
        try
        {
            auto const root = YAML::Load(text);
            if (!root.IsMap())
                return reject(0, "", "is not a map of settings");
            read_level(root, "");
        }
        catch (YAML::ParserException const& error)
        {
            return reject(error.mark.line + 1, "", error.msg);
        }
        require_all();
        check_fleet();
    }

    settings_or_problems result()
    {
        if (!problems_.empty())
            return std::move(problems_);
        return std::move(settings_);
    }

    void reject(int line, std::string setting, std::string text)
    {
        problems_.push_back({file_, line, std::move(setting), std::move(text)});
    }

private:
    void read_level(YAML::Node const& level, std::string const& prefix)
    {
        // The profile comes first: the settings beside it change what it says
        for (auto const& member : level)
            if (prefix + member.first.as<std::string>() == profile_name)
                read_member(member.first, member.second, prefix);
        for (auto const& member : level)
            if (prefix + member.first.as<std::string>() != profile_name)
                read_member(member.first, member.second, prefix);
    }

    void read_member(YAML::Node const& key, YAML::Node const& value,
                     std::string const& prefix)
    {
        auto const name = prefix + key.as<std::string>();
        auto const line = key.Mark().line + 1;
        if (value.IsMap())
            read_section(value, name, line);
        else
            read_value(value, name, line);
    }

    void read_section(YAML::Node const& section, std::string const& name, int line)
    {
        auto const prefix = name + '.';
        auto const fields = all_settings_fields();
        auto const known = std::any_of(fields.begin(), fields.end(),
                                       [&](auto const& field)
                                       { return field.name.starts_with(prefix); });
        if (known)
            read_level(section, prefix);
        else
            reject_unknown(line, name);
    }

    void read_value(YAML::Node const& value, std::string const& name, int line)
    {
        auto const fields = all_settings_fields();
        auto const field =
            std::find_if(fields.begin(), fields.end(),
                         [&](auto const& each) { return each.name == name; });
        if (field == fields.end())
            return reject_unknown(line, name);
        if (!seen_.insert(name).second)
            return reject(line, name, "stands twice");
        if (!value.IsScalar())
            return reject(line, name, "is not a single value");
        auto problem = field->take(value.as<std::string>(), settings_);
        if (!problem.empty())
            reject(line, name, std::move(problem));
    }

    void reject_unknown(int line, std::string const& name)
    {
        std::vector<std::string_view> names;
        for (auto const& field : all_settings_fields())
        {
            names.push_back(field.name);
            names.push_back(field.name.substr(0, field.name.find('.')));
        }
        auto const nearest = nearest_name(name, names);
        reject(line, name,
               nearest.empty() ? "is no setting"
                               : fmt::format("is no setting; nearest is `{}`", nearest));
    }

    void require_all()
    {
        for (auto const& field : all_settings_fields())
            if (field.required && !seen_.contains(std::string(field.name)))
                reject(0, std::string(field.name), "is missing");
    }

    // What joins hosts is told whole or not at all
    void check_fleet()
    {
        auto& fleet = settings_.fleet;
        if (!fleet.address)
            return;
        if (std::find(fleet.zones.begin(), fleet.zones.end(), settings_.zone) ==
            fleet.zones.end())
            reject(0, "fleet.zones", "does not name the zone of this host");
        if (fleet.files.certificate.empty())
            return;
        std::error_code error;
        fleet.tls = make_mutual_tls(fleet.files, error);
        if (error)
            reject(0, "fleet.certificate", error.message());
    }

    // Name of the file
    std::string file_;
    // Settings read so far
    node_settings settings_;
    // Problems found so far
    std::vector<settings_problem> problems_;
    // Names read so far
    std::set<std::string> seen_;
};

// Number of letters to insert, remove or replace
std::size_t edit_distance(std::string_view left, std::string_view right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 1; i <= left.size(); ++i)
    {
        auto diagonal = std::exchange(row[0], i);
        for (std::size_t j = 1; j <= right.size(); ++j)
        {
            auto const replaced = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({replaced, row[j] + 1, row[j - 1] + 1});
        }
    }
    return row.back();
}

} // namespace

std::string settings_problem::to_string() const
{
    auto place = file;
    if (line > 0)
        place += fmt::format(":{}", line);
    return setting.empty() ? fmt::format("{}: {}", place, text)
                           : fmt::format("{}: {}: {}", place, setting, text);
}

std::string_view nearest_name(std::string_view name,
                              std::vector<std::string_view> const& candidates)
{
    std::string_view nearest;
    std::size_t smallest = std::max<std::size_t>(2, name.size() / 2) + 1;
    for (auto const candidate : candidates)
    {
        auto const distance = edit_distance(name, candidate);
        if (distance < smallest)
        {
            smallest = distance;
            nearest = candidate;
        }
    }
    return nearest;
}

settings_or_problems read_settings(std::string const& file, std::string const& text)
{
    settings_reader reader(file);
    reader.read(text);
    return reader.result();
}

settings_or_problems read_settings_file(std::string const& file)
{
    std::ifstream input(file);
    if (!input)
        return std::vector<settings_problem>{{file, 0, "", "cannot be opened"}};
    std::string const text(std::istreambuf_iterator<char>(input), {});
    return read_settings(file, text);
}

std::string format_settings(node_settings const& settings)
{
    std::string text;
    std::string_view section;
    for (auto const& field : all_settings_fields())
    {
        auto const value = field.show ? field.show(settings) : std::string();
        if (value.empty())
            continue;

        // A section begins where the first part of the name changes
        auto const dot = field.name.find('.');
        auto const prefix = dot == std::string_view::npos ? std::string_view()
                                                          : field.name.substr(0, dot);
        if (prefix != section && !prefix.empty())
            text += fmt::format("{}:\n", prefix);
        section = prefix;

        auto const name = prefix.empty() ? field.name : field.name.substr(dot + 1);
        text += fmt::format("{}{}: {} # {}\n", prefix.empty() ? "" : "  ", name, value,
                            field.text);
    }
    return text;
}

} // namespace marjorampath::serving
