#include <serving/admin/admin_server.hpp>
#include <serving/telemetry/log.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <utility>

namespace marjorampath::serving
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;

using asio::ip::tcp;

constexpr auto as_result = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::seconds connection_timeout{30};
constexpr std::size_t max_connections = 64;
constexpr std::uint32_t max_head_bytes = 16'384;
constexpr std::uint64_t max_body_bytes = 65'536;

// Splits `a=b&c=d`; values are names and numbers, which need no decoding
std::map<std::string, std::string> split_query(std::string_view target)
{
    std::map<std::string, std::string> query;
    auto const mark = target.find('?');
    if (mark == std::string_view::npos)
        return query;
    target.remove_prefix(mark + 1);
    while (!target.empty())
    {
        auto const end = std::min(target.find('&'), target.size());
        auto const pair = target.substr(0, end);
        target.remove_prefix(std::min(end + 1, target.size()));
        auto const equals = std::min(pair.find('='), pair.size());
        query.emplace(pair.substr(0, equals),
                      pair.substr(std::min(equals + 1, pair.size())));
    }
    return query;
}

std::string_view bearer_token(http::request<http::string_body> const& request)
{
    constexpr std::string_view scheme = "Bearer ";
    auto const field = request[http::field::authorization];
    std::string_view const text(field.data(), field.size());
    return text.starts_with(scheme) ? text.substr(scheme.size()) : std::string_view();
}

http::response<http::string_body> make_answer(unsigned status, std::string_view type,
                                              std::string body)
{
    constexpr unsigned http_version = 11;
    http::response<http::string_body> answer;
    answer.version(http_version);
    answer.result(status);
    answer.set(http::field::content_type, beast::string_view(type.data(), type.size()));
    answer.body() = std::move(body);
    answer.prepare_payload();
    return answer;
}

http::response<http::string_body> make_error(error_kind kind)
{
    auto const& row = answer_of(kind);
    json::object const body{{"error",
                             {{"kind", row.name},
                              {"outcome", to_string(row.result)},
                              {"message", row.text}}}};
    return make_answer(row.http_status, "application/json", json::serialize(body));
}

} // namespace

admin_server::admin_server(asio::io_context& control, admin_tokens tokens,
                           std::vector<admin_route> routes,
                           std::function<std::string()> metrics)
    : control_(control), acceptor_(control), tokens_(std::move(tokens)),
      routes_(std::move(routes)), metrics_(std::move(metrics))
{
}

boost::system::error_code admin_server::listen(tcp::endpoint const& address)
{
    boost::system::error_code error;
    acceptor_.open(address.protocol(), error);
    if (!error)
        acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor_.bind(address, error);
    if (!error)
        acceptor_.listen(asio::socket_base::max_listen_connections, error);
    if (!error)
        asio::co_spawn(control_, accept(), asio::detached);
    return error;
}

tcp::endpoint admin_server::address() const
{
    boost::system::error_code ignored;
    return acceptor_.local_endpoint(ignored);
}

void admin_server::stop()
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
}

asio::awaitable<void> admin_server::accept()
{
    while (acceptor_.is_open())
    {
        auto [error, socket] = co_await acceptor_.async_accept(as_result);

        // A connection above the bound is closed at once
        if (!error && open_ < max_connections)
            asio::co_spawn(control_, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> admin_server::serve(tcp::socket socket)
{
    ++open_;
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    bool keep = true;
    while (keep)
    {
        stream.expires_after(connection_timeout);
        http::request_parser<http::string_body> parser;
        parser.header_limit(max_head_bytes);
        parser.body_limit(max_body_bytes);
        auto const [read_error, read_bytes] =
            co_await http::async_read(stream, buffer, parser, as_result);
        if (read_error)
            break;

        auto reply = answer(parser.get());
        reply.keep_alive(parser.get().keep_alive());
        keep = parser.get().keep_alive();
        auto const [write_error, written] =
            co_await http::async_write(stream, reply, as_result);
        keep = keep && !write_error;
    }
    --open_;
}

admin_server::answer_message admin_server::answer(request_message const& request) const
{
    std::string_view const target(request.target().data(), request.target().size());
    auto const path = target.substr(0, target.find('?'));

    // Metrics name no team's requests and need no token
    if (path == "/metrics" && request.method() == http::verb::get)
        return make_answer(200, "text/plain; version=0.0.4", metrics_());

    auto const principal = tokens_.find(bearer_token(request));
    if (!principal)
    {
        log_event(event::admin_refused, "path", path, "reason", "token");
        return make_error(error_kind::unauthorized);
    }

    for (auto const& route : routes_)
        if (route.path == path && route.method == request.method())
            return call(route, {.principal = *principal, .query = split_query(target)});
    return make_error(error_kind::no_such_route);
}

admin_server::answer_message admin_server::call(admin_route const& route,
                                                admin_request const& request) const
{
    if (request.principal.role < route.role)
    {
        log_event(event::admin_refused, "path", route.path, "by", request.principal.name,
                  "reason", "role");
        return make_error(error_kind::forbidden);
    }

    // Every act is logged, before it is carried out
    if (route.method != http::verb::get)
        log_event(event::admin_act, "path", route.path, "by", request.principal.name);

    auto const result = route.handle(request);
    if (auto const* refused = std::get_if<error_kind>(&result))
        return make_error(*refused);
    return make_answer(200, "application/json",
                       json::serialize(std::get<json::value>(result)));
}

} // namespace marjorampath::serving
