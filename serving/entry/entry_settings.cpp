#include <serving/entry/entry_settings.hpp>

#include <fmt/format.h>
#include <yaml-cpp/yaml.h>

#include <charconv>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <utility>

namespace marjorampath::serving
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

// Parses a value into the settings; returns what is wrong with it, or an empty string
using parse_function = std::function<std::string(YAML::Node const&, entry_settings&)>;

// How one setting is read
struct entry_field
{
    // Whether the file must name it
    bool required = false;
    // Parses its value
    parse_function parse;
};

std::string parse_address(YAML::Node const& node, tcp::endpoint& to)
{
    auto const text = node.as<std::string>();
    auto const colon = text.rfind(':');
    boost::system::error_code error;
    std::uint16_t port = 0;
    if (colon == std::string::npos)
        return "is not IP:PORT";
    auto const address = asio::ip::make_address(text.substr(0, colon), error);
    auto const* end = text.data() + text.size();
    auto const parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (error || parsed.ec != std::errc{} || parsed.ptr != end)
        return "is not IP:PORT";
    to = {address, port};
    return {};
}

entry_field address_field(tcp::endpoint entry_settings::*to)
{
    return {true, [to](YAML::Node const& node, entry_settings& settings)
            { return parse_address(node, settings.*to); }};
}

entry_field text_field(std::string entry_settings::*to)
{
    return {true,
            [to](YAML::Node const& node, entry_settings& settings) -> std::string
            {
                settings.*to = node.as<std::string>();
                return (settings.*to).empty() ? "is empty" : "";
            }};
}

template <class Number>
entry_field number_field(Number entry_settings::*to, Number min)
{
    return {false,
            [to, min](YAML::Node const& node, entry_settings& settings) -> std::string
            {
                settings.*to = node.as<Number>();
                return settings.*to < min ? "is too small" : "";
            }};
}

template <class Unit>
entry_field time_field(duration entry_settings::*to)
{
    return {false,
            [to](YAML::Node const& node, entry_settings& settings) -> std::string
            {
                auto const value = node.as<double>();
                settings.*to = std::chrono::duration_cast<duration>(
                    std::chrono::duration<double, typename Unit::period>(value));
                return value <= 0 ? "is not a positive time" : "";
            }};
}

std::string parse_peers(YAML::Node const& node, entry_settings& settings)
{
    tcp::endpoint address;
    auto problem = parse_address(node, address);
    if (problem.empty() && !address.address().is_v4())
        problem = "is not an IPv4 address";
    if (problem.empty())
        settings.peers = {address.address().to_v4().to_uint(), address.port()};
    return problem;
}

std::string parse_metrics(YAML::Node const& node, entry_settings& settings)
{
    tcp::endpoint address;
    auto problem = parse_address(node, address);
    if (problem.empty())
        settings.metrics = address;
    return problem;
}

std::string parse_revocation_bound(YAML::Node const& node, entry_settings& settings)
{
    auto const milliseconds = node.as<std::int64_t>();
    settings.revocation_bound = std::chrono::milliseconds(milliseconds);
    return milliseconds <= 0 ? "is not a positive time" : "";
}

std::string parse_outgoing(YAML::Node const& node, entry_settings& settings)
{
    boost::system::error_code error;
    auto const address = boost::asio::ip::make_address_v4(node.as<std::string>(), error);
    if (error)
        return "is not an IPv4 address";
    settings.outgoing = address;
    return {};
}

std::string parse_seeds(YAML::Node const& node, entry_settings& settings)
{
    if (!node.IsSequence())
        return "is not a list";
    settings.seeds.clear();
    for (auto const& each : node)
    {
        tcp::endpoint address;
        if (auto problem = parse_address(each, address); !problem.empty())
            return problem;
        settings.seeds.push_back(address);
    }
    return {};
}

std::map<std::string, entry_field> const& entry_fields()
{
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    using settings = entry_settings;
    static std::map<std::string, entry_field> const fields{
        {"host", text_field(&settings::host)},
        {"zone", text_field(&settings::zone)},
        {"callers", address_field(&settings::callers)},
        {"readiness", address_field(&settings::readiness)},
        {"readiness_path", text_field(&settings::readiness_path)},
        {"relay", address_field(&settings::relay)},
        {"metrics", {false, parse_metrics}},
        {"outgoing", {false, parse_outgoing}},
        {"peers", {true, parse_peers}},
        {"seeds", {true, parse_seeds}},
        {"store", address_field(&settings::store)},
        {"witnesses", number_field<std::uint32_t>(&settings::witnesses, 1)},
        {"order_quiet_ms", time_field<milliseconds>(&settings::order_quiet)},
        {"grace_s", time_field<seconds>(&settings::grace)},
        {"retry_ratio", number_field<double>(&settings::retry_ratio, 0)},
        {"retry_window_s", time_field<seconds>(&settings::retry_window)},
        {"retry_extra", number_field<double>(&settings::retry_extra, 0)},
        {"revocation_ms", {false, parse_revocation_bound}},
        {"revocation_margin_ms", time_field<milliseconds>(&settings::revocation_margin)},
        {"quota_tolerance", number_field<double>(&settings::quota_tolerance, 0)},
        {"descriptors", number_field<std::uint32_t>(&settings::descriptors, 64)},
        {"memory_mb", number_field<std::uint32_t>(&settings::memory_mb, 32)},
        {"log_lines_per_second",
         number_field<std::uint32_t>(&settings::log_lines_per_second, 1)},
    };
    return fields;
}

// Reads one setting; appends what is wrong with it to `problems`
void read_setting(std::string const& file, YAML::Node const& key, YAML::Node const& value,
                  entry_settings& settings, std::vector<settings_problem>& problems)
{
    auto const name = key.as<std::string>();
    auto const line = key.Mark().line + 1;
    auto const found = entry_fields().find(name);
    if (found == entry_fields().end())
    {
        std::vector<std::string_view> names;
        for (auto const& [known, field] : entry_fields())
            names.push_back(known);
        auto const nearest = nearest_name(name, names);
        problems.push_back(
            {file, line, name,
             nearest.empty() ? "is no setting"
                             : fmt::format("is no setting; nearest is `{}`", nearest)});
        return;
    }
    std::string problem;
    try
    {
        problem = found->second.parse(value, settings);
    }
    catch (YAML::Exception const& error)
    {
        problem = error.msg;
    }
    if (!problem.empty())
        problems.push_back({file, line, name, problem});
}

} // namespace

entry_settings_or_problems read_entry_settings(std::string const& file,
                                               std::string const& text)
{
    entry_settings settings;
    std::vector<settings_problem> problems;
    YAML::Node root;
    try
    {
        root = YAML::Load(text);
    }
    catch (YAML::ParserException const& error)
    {
        return std::vector<settings_problem>{{file, error.mark.line + 1, "", error.msg}};
    }
    if (!root.IsMap())
        return std::vector<settings_problem>{{file, 0, "", "is not a map of settings"}};
    for (auto const& member : root)
        read_setting(file, member.first, member.second, settings, problems);
    for (auto const& [name, field] : entry_fields())
        if (field.required && !root[name])
            problems.push_back({file, 0, name, "is missing"});
    if (!problems.empty())
        return problems;
    return settings;
}

entry_settings_or_problems read_entry_settings_file(std::string const& file)
{
    std::ifstream input(file);
    if (!input)
        return std::vector<settings_problem>{{file, 0, "", "cannot be opened"}};
    std::string const text(std::istreambuf_iterator<char>(input), {});
    return read_entry_settings(file, text);
}

} // namespace marjorampath::serving
