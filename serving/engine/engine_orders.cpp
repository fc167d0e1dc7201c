#include <serving/endpoint/http_fetch.hpp>
#include <serving/engine/engine_orders.hpp>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <fmt/format.h>

#include <utility>

namespace marjorampath::serving
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;

// HTTP status with which an engine refuses an outdated fencing number
constexpr unsigned stale_fencing_status = 412;

http::request<http::string_body> make_message(engine_order const& order,
                                              engine_order_options const& options,
                                              std::uint64_t fencing_number)
{
    auto const is_load = order.kind == adapter_order::load;
    http::request<http::string_body> message(
        http::verb::post, is_load ? "/v1/load_lora_adapter" : "/v1/unload_lora_adapter",
        11);
    message.set(http::field::content_type, "application/json");
    message.set("X-Fencing-Token", fmt::to_string(fencing_number));
    json::object body{{"lora_name", order.qualified_adapter}};
    if (is_load)
        body["lora_path"] = options.adapter_path + order.qualified_adapter;
    message.body() = json::serialize(body);
    return message;
}

// Reads the higher fencing number from a refusal; zero if it has none
std::uint64_t read_fencing_number(std::string const& document)
{
    boost::system::error_code error;
    auto const value = json::parse(document, error);
    if (error)
        return 0;
    auto const* number = value.find_pointer("/fencing_token", error);
    if (!number || !number->is_number())
        return 0;
    auto const result = number->to_number<std::uint64_t>(error);
    return error ? 0 : result;
}

error_kind error_kind_of_status(adapter_order kind, unsigned status)
{
    if (status == 200)
        return error_kind::none;

    // The adapter is already loaded, or already unloaded
    if (kind == adapter_order::load && status == 400)
        return error_kind::none;
    if (kind == adapter_order::unload && status == 404)
        return error_kind::none;
    return kind == adapter_order::load && status != stale_fencing_status
               ? error_kind::load_failed
               : error_kind::endpoint_refused;
}

} // namespace

asio::awaitable<error_kind> send_order(engine_order order, engine_order_options options,
                                       fencing_source const& fencing)
{
    auto const number = fencing.current();
    if (!number)
        co_return error_kind::owner_unreachable;
    auto message = make_message(order, options, *number);
    http_fetch_options const bounds{.timeout = options.timeout};
    auto const result =
        co_await http_fetch(order.endpoint.address, std::move(message), bounds);
    if (result.error)
        co_return error_kind::endpoint_lost;

    auto const status = result.answer.result_int();
    if (status == stale_fencing_status)
        fencing.on_refused(read_fencing_number(result.answer.body()));
    co_return error_kind_of_status(order.kind, status);
}

} // namespace marjorampath::serving
