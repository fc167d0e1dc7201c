#include <serving/host_list/host_entry.hpp>
#include <serving/settings/settings_field.hpp>

#include <boost/asio/ip/address.hpp>

#include <fmt/format.h>

#include <charconv>
#include <concepts>
#include <optional>
#include <sstream>
#include <vector>

namespace marjorampath::serving
{

namespace
{

using boost::asio::ip::tcp;

// Parses a number in [lowest, highest]; returns an error message, or an empty string on
// success
template <class Number>
std::string read_number(std::string const& text, Number lowest, Number highest,
                        Number& number)
{
    Number read{};
    auto const* end = text.data() + text.size();
    auto const [stop, error] = std::from_chars(text.data(), end, read);
    if (error != std::errc{} || stop != end || read < lowest || read > highest)
        return fmt::format("`{}` is not a number from {} to {}", text, lowest, highest);
    number = read;
    return {};
}

settings_field text_field(std::string_view name, std::string_view description,
                          bool required, std::string node_settings::*member)
{
    return {.name = name,
            .description = description,
            .required = required,
            .parse = [member](std::string const& value,
                              node_settings& settings) -> std::string
            {
                if (value.empty())
                    return "is empty";
                settings.*member = value;
                return {};
            },
            .to_text = [member](node_settings const& settings)
            { return settings.*member; }};
}

// Parses IP:PORT; port 0 lets the system choose a free port
std::optional<tcp::endpoint> read_address(std::string const& text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    boost::system::error_code error;
    auto const address = boost::asio::ip::make_address(text.substr(0, colon), error);
    std::uint16_t port = 0;
    auto const problem =
        read_number<std::uint16_t>(text.substr(colon + 1), 0, 65'535, port);
    if (error || !problem.empty())
        return std::nullopt;
    return tcp::endpoint(address, port);
}

settings_field address_field(std::string_view name, std::string_view description,
                             tcp::endpoint node_settings::*member)
{
    return {.name = name,
            .description = description,
            .required = true,
            .parse = [member](std::string const& value,
                              node_settings& settings) -> std::string
            {
                auto const address = read_address(value);
                if (!address)
                    return fmt::format("`{}` is not IP:PORT", value);
                settings.*member = *address;
                return {};
            },
            .to_text = [member](node_settings const& settings)
            { return format_address(settings.*member); }};
}

// A number; `select` returns a reference to its member of the settings
template <class Number, class Select>
settings_field number_field(std::string_view name, std::string_view description,
                            Number lowest, Number highest, Select select)
{
    return {
        .name = name,
        .description = description,
        .parse =
            [lowest, highest, select](std::string const& value, node_settings& settings)
        {
            Number number{};
            auto problem = read_number(value, lowest, highest, number);
            if (problem.empty())
                select(settings) = number;
            return problem;
        },
        .to_text =
            [select](node_settings const& settings)
        {
            auto copy = settings;
            return fmt::to_string(select(copy));
        }};
}

// A duration in milliseconds, at most one day; `select` returns a reference to its
// member of the settings
template <class Select>
settings_field duration_field(std::string_view name, std::string_view description,
                              std::int64_t lowest, Select select)
{
    constexpr std::int64_t day_ms = 86'400'000;
    return {.name = name,
            .description = description,
            .parse =
                [lowest, select](std::string const& value, node_settings& settings)
            {
                std::int64_t number = 0;
                auto problem = read_number<std::int64_t>(value, lowest, day_ms, number);
                if (problem.empty())
                    select(settings) = std::chrono::milliseconds(number);
                return problem;
            },
            .to_text =
                [select](node_settings const& settings)
            {
                auto copy = settings;
                auto const time =
                    std::chrono::duration_cast<std::chrono::milliseconds>(select(copy));
                return fmt::to_string(time.count());
            }};
}

// Replaces the whole policy by a named one; the other policy settings then override it
settings_field profile_field()
{
    return {.name = "policy.profile",
            .description = "Policy to start from: ennstal or trazalgodon.",
            .parse = [](std::string const& value, node_settings& settings) -> std::string
            {
                auto const profile = find_profile(value);
                if (!profile)
                    return fmt::format("`{}` is not ennstal or trazalgodon", value);
                settings.policy = *profile;
                return {};
            },
            .to_text = nullptr};
}

std::vector<settings_field> host_fields()
{
    using node = node_settings;
    return {
        text_field("host", "Name of this host, as in the host list.", true, &node::host),
        text_field("zone", "Availability zone of this host.", true, &node::zone),
        text_field("region", "Region of this host.", true, &node::region),
        address_field("callers", "Address that callers connect to.", &node::callers),
        address_field("configuration_service", "Address of the configuration service.",
                      &node::configuration_service),
        address_field("host_list", "Address of the host list.", &node::host_list),
        text_field("adapter_path",
                   "Prefix before ADAPTER@VERSION in a path of the weight store.", false,
                   &node::adapter_path),
        number_field<std::uint32_t>(
            "traffic_threads", "Number of traffic threads.", 1, 64,
            [](node & s) -> auto& { return s.traffic_threads; }),
        duration_field(
            "host_list_interval_ms", "Time between two reads of the host list.", 10,
            [](node & s) -> auto& { return s.host_list_interval; }),
        duration_field(
            "load_interval_ms", "Time between two reads of an engine's load.", 10,
            [](node & s) -> auto& { return s.load_interval; }),
        duration_field(
            "shutdown_notice_ms",
            "Time for which a host that shuts down still accepts new callers.", 0,
            [](node & s) -> auto& { return s.shutdown_notice; }),
    };
}

std::vector<settings_field> limit_fields()
{
    using node = node_settings;
    constexpr std::uint64_t gibibyte = 1'073'741'824;
    return {
        number_field<std::uint32_t>(
            "limits.max_head_bytes", "Largest head of a request.", 1'024, 1'048'576,
            [](node & s) -> auto& { return s.limits.max_head_bytes; }),
        number_field<std::uint64_t>(
            "limits.max_body_bytes", "Largest body of a request.", 1'024, gibibyte,
            [](node & s) -> auto& { return s.limits.max_body_bytes; }),
        number_field<std::size_t>(
            "limits.max_whole_answer_bytes",
            "Largest answer of an engine that is buffered until it is complete.", 1'024,
            gibibyte, [](node & s) -> auto& { return s.limits.max_whole_answer_bytes; }),
        number_field<std::size_t>(
            "limits.max_connections", "Callers' connections of one traffic thread.", 1,
            1'000'000, [](node & s) -> auto& { return s.limits.max_connections; }),
        number_field<std::uint32_t>(
            "limits.memory_mb", "Memory that the process may use, in MiB.", 32, 1'048'576,
            [](node & s) -> auto& { return s.memory_mb; }),
        number_field<std::uint32_t>(
            "limits.descriptors", "File descriptors that the process may use.", 256,
            10'000'000, [](node & s) -> auto& { return s.descriptors; }),
        number_field<std::uint32_t>(
            "limits.max_attempts", "Attempts of one request.", 1, 16,
            [](node & s) -> auto& { return s.limits.max_attempts; }),
        duration_field(
            "limits.idle_timeout_ms",
            "Time after which a connection without a request is closed.", 10,
            [](node & s) -> auto& { return s.limits.idle_timeout; }),
        duration_field(
            "limits.receive_timeout_ms",
            "Time within which a request must have been received.", 10,
            [](node & s) -> auto& { return s.limits.receive_timeout; }),
        duration_field(
            "limits.max_deadline_ms", "Longest deadline of a request.", 1,
            [](node & s) -> auto& { return s.limits.max_deadline; }),
        number_field<std::size_t>(
            "connections.max_idle_per_endpoint", "Idle connections kept to one endpoint.",
            0, 65'536,
            [](node & s) -> auto& { return s.connections.max_idle_per_endpoint; }),
        number_field<std::size_t>(
            "connections.max_idle", "Idle connections kept in all.", 0, 65'536,
            [](node & s) -> auto& { return s.connections.max_idle; }),
    };
}

std::vector<settings_field> policy_fields()
{
    using node = node_settings;
    constexpr double max_loads_per_second = 1e6;
    return {
        profile_field(),
        number_field<double>(
            "policy.stall_weight",
            "Trade-off from full batches (0) to few load stalls (1).", 0, 1,
            [](node & s) -> auto& { return s.policy.stall_weight; }),
        number_field<double>(
            "policy.loads_per_second", "Adapter loads per second that a cell may start.",
            0.001, max_loads_per_second,
            [](node & s) -> auto& { return s.policy.loads_per_second; }),
        number_field<std::uint32_t>(
            "policy.loads_in_transit", "Loads of a cell in transit at once.", 1, 1'024,
            [](node & s) -> auto& { return s.policy.loads_in_transit; }),
        number_field<std::size_t>(
            "policy.queue_bound", "Queued requests of a cell.", 1, 1'000'000,
            [](node & s) -> auto& { return s.policy.queue_bound; }),
    };
}

// A file name; `select` returns a reference to its member of the settings
template <class Select>
settings_field file_field(std::string_view name, std::string_view description,
                          Select select)
{
    return {.name = name,
            .description = description,
            .parse =
                [select](std::string const& value, node_settings& settings)
            {
                select(settings) = value;
                return std::string();
            },
            .to_text =
                [select](node_settings const& settings)
            {
                auto copy = settings;
                return select(copy);
            }};
}

settings_field fleet_address_field()
{
    return {.name = "fleet.address",
            .description =
                "Address that other hosts connect to; without it the node runs alone.",
            .parse = [](std::string const& value, node_settings& settings) -> std::string
            {
                settings.fleet.address = read_address(value);
                if (!settings.fleet.address)
                    return fmt::format("`{}` is not IP:PORT", value);
                return {};
            },
            .to_text = [](node_settings const& settings) -> std::string
            {
                auto const& address = settings.fleet.address;
                return address ? format_address(*address) : std::string();
            }};
}

settings_field zones_field()
{
    return {.name = "fleet.zones",
            .description =
                "Zones of the region, separated by commas; equal on all hosts.",
            .parse = [](std::string const& value, node_settings& settings) -> std::string
            {
                settings.fleet.zones.clear();
                std::istringstream names(value);
                for (std::string name; std::getline(names, name, ',');)
                    settings.fleet.zones.push_back(name);
                return settings.fleet.zones.empty() ? "names no zone" : "";
            },
            .to_text = [](node_settings const& settings)
            { return fmt::format("{}", fmt::join(settings.fleet.zones, ",")); }};
}

std::vector<settings_field> fleet_fields()
{
    using node = node_settings;
    return {
        fleet_address_field(),
        zones_field(),
        number_field<std::uint32_t>(
            "fleet.witnesses_per_zone", "Witnesses of leases in each zone.", 1, 8,
            [](node & s) -> auto& { return s.fleet.witnesses_per_zone; }),
        file_field(
            "fleet.certificate", "PEM file of this host's certificate; none for no TLS.",
            [](node & s) -> auto& { return s.fleet.files.certificate; }),
        file_field(
            "fleet.key", "PEM file of this host's private key.",
            [](node & s) -> auto& { return s.fleet.files.key; }),
        file_field(
            "fleet.authority", "PEM file of the authority of the hosts' certificates.",
            [](node & s) -> auto& { return s.fleet.files.authority; }),
    };
}

std::vector<settings_field> make_fields()
{
    auto fields = host_fields();
    for (auto& field : limit_fields())
        fields.push_back(std::move(field));
    for (auto& field : policy_fields())
        fields.push_back(std::move(field));
    for (auto& field : fleet_fields())
        fields.push_back(std::move(field));
    return fields;
}

} // namespace

std::span<settings_field const> all_settings_fields()
{
    static std::vector<settings_field> const fields = make_fields();
    return fields;
}

} // namespace marjorampath::serving
