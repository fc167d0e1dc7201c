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

// Status of an answer to an order with an old fencing number
constexpr unsigned fence_refused_status = 412;

http::request<http::string_body> make_message(engine_order const& order,
                                              engine_order_options const& options,
                                              std::uint64_t fencing_number)
{
    auto const loading = order.kind == adapter_order::load;
    http::request<http::string_body> message(
        http::verb::post, loading ? "/v1/load_lora_adapter" : "/v1/unload_lora_adapter",
        11);
    message.set(http::field::content_type, "application/json");
    message.set("X-Fencing-Token", fmt::to_string(fencing_number));
    json::object body{{"lora_name", order.qualified_adapter}};
    if (loading)
        body["lora_path"] = options.adapter_path + order.qualified_adapter;
    message.body() = json::serialize(body);
    return message;
}

// The fencing number in a refusal, or zero
std::uint64_t refused_by(std::string const& document)
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

error_kind kind_of_status(adapter_order kind, unsigned status)
{
    if (status == 200)
        return error_kind::none;

    // The engine is in the ordered state already
    if (kind == adapter_order::load && status == 400)
        return error_kind::none;
    if (kind == adapter_order::unload && status == 404)
        return error_kind::none;
    return kind == adapter_order::load && status != fence_refused_status
               ? error_kind::load_failed
               : error_kind::endpoint_refused;
}

} // namespace

asio::awaitable<error_kind> give_order(engine_order order, engine_order_options options,
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
    if (status == fence_refused_status)
        fencing.on_refused(refused_by(result.answer.body()));
    co_return kind_of_status(order.kind, status);
}

} // namespace marjorampath::serving
