#include <programs/marjorampathctl/exit_code.hpp>
#include <programs/marjorampathctl/json_table.hpp>
#include <programs/marjorampathctl/node_command.hpp>
#include <serving/replay/endpoint_list.hpp>
#include <serving/replay/http_exchange.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <exception>
#include <fstream>
#include <optional>

namespace marjorampath::ctl
{

namespace
{

namespace http = boost::beast::http;

// What a command asks a node
struct node_route
{
    // Words of the command
    std::string_view name;
    std::string_view word;
    // Route of the administration API
    http::verb method;
    std::string_view path;
    // Query parameter that the next word is the value of; empty for none
    std::string_view parameter;
};

constexpr std::array routes{
    node_route{"status", "", http::verb::get, "/v1/status", ""},
    node_route{"loads", "", http::verb::get, "/v1/loads", ""},
    node_route{"explain", "", http::verb::get, "/v1/explain", "subject"},
    node_route{"overnight", "", http::verb::get, "/v1/overnight", "since_ms"},
    node_route{"drain", "", http::verb::post, "/v1/drain", ""},
    node_route{"quarantine", "list", http::verb::get, "/v1/quarantine", ""},
    node_route{"quarantine", "release", http::verb::post, "/v1/quarantine/release",
               "fingerprint"},
};

int usage_error(std::string_view text)
{
    fmt::print(stderr, "marjorampathctl: {}\n", text);
    return usage;
}

// The target of a command, or nothing for wrong words
std::optional<std::string> make_target(node_route const& route,
                                       std::vector<std::string> words)
{
    if (!route.word.empty())
        words.erase(words.begin());
    if (words.size() != (route.parameter.empty() ? 0u : 1u))
        return std::nullopt;
    if (words.empty())
        return std::string(route.path);
    return fmt::format("{}?{}={}", route.path, route.parameter, words.front());
}

node_route const* find_route(std::string_view name, std::vector<std::string> const& words)
{
    auto const found =
        std::find_if(routes.begin(), routes.end(),
                     [&](node_route const& route)
                     {
                         return route.name == name &&
                                (route.word.empty() ||
                                 (!words.empty() && words.front() == route.word));
                     });
    return found == routes.end() ? nullptr : &*found;
}

replay_attempt ask(boost::asio::ip::tcp::endpoint const& node, http::verb method,
                   std::string const& target, std::string const& token)
{
    constexpr unsigned http_version = 11;
    constexpr std::chrono::seconds timeout{10};
    http::request<http::string_body> request(method, target, http_version);
    request.set(http::field::host, "node");
    request.set(http::field::authorization, "Bearer " + token);
    request.set(http::field::connection, "close");
    request.prepare_payload();

    replay_attempt answer;
    boost::asio::io_context context;
    boost::asio::co_spawn(context, serving::exchange(node, std::move(request), timeout),
                          [&](std::exception_ptr const&, replay_attempt got)
                          { answer = std::move(got); });
    context.run();
    return answer;
}

bool print_answer(replay_attempt const& answer, std::string_view node, bool json)
{
    constexpr unsigned status_ok = 200;
    if (answer.status != status_ok)
    {
        fmt::print(stderr, "{}: {}\n", node,
                   answer.status == 0 ? "no answer" : answer.text);
        return false;
    }
    boost::system::error_code error;
    auto const value = boost::json::parse(answer.text, error);
    if (json || error)
        fmt::print("{}\n", answer.text);
    else
        fmt::print("== {}\n{}\n", node, format_json(value));
    return true;
}

} // namespace

bool is_node_command(std::string_view name) noexcept
{
    return std::any_of(routes.begin(), routes.end(),
                       [&](node_route const& route) { return route.name == name; });
}

int run_node_command(std::string const& name, std::vector<std::string> const& words,
                     node_command_options const& options)
{
    auto const* route = find_route(name, words);
    auto const target = route ? make_target(*route, words) : std::nullopt;
    if (!target)
        return usage_error(fmt::format("wrong words after `{}`; see --help", name));

    auto const nodes = serving::parse_endpoint_list(options.nodes);
    if (!nodes || nodes->empty())
        return usage_error("--node takes IP:PORT[,IP:PORT…]");
    std::string token;
    std::ifstream file(options.token_file);
    if (!std::getline(file, token))
        return usage_error("--token-file cannot be read");

    bool all = true;
    for (auto const& node : *nodes)
    {
        auto const label = fmt::format("{}:{}", node.address().to_string(), node.port());
        auto const answer = ask(node, route->method, *target, token);
        all = print_answer(answer, label, options.json) && all;
    }
    return all ? success : failure;
}

} // namespace marjorampath::ctl
