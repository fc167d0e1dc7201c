#pragma once

#include <marjorampath/adapter_load/engine_report.hpp>
#include <marjorampath/adapter_load/planned_order.hpp>
#include <serving/endpoint/connection_pool.hpp>
#include <serving/entry/entry_dialect.hpp>
#include <serving/entry/entry_view.hpp>

#include <concepts>
#include <optional>
#include <string>
#include <unordered_set>

namespace marjorampath::serving
{

/// A client that sends load and unload orders to engines and reads their reports.
template <class Client>
concept entry_engine_client =
    std::constructible_from<Client, connection_pool&, std::string> &&
    requires(Client& client, endpoint_announcement engine, planned_order order,
             duration timeout)
{
    {
        client.send_order(engine, order)
        } -> std::same_as<boost::asio::awaitable<order_result>>;
    {
        client.read_report(engine)
        } -> std::same_as<boost::asio::awaitable<std::optional<engine_report>>>;
    // The prompt parts that an engine keeps
    {
        client.read_kept_parts(engine)
        } -> std::same_as<
            boost::asio::awaitable<std::optional<std::unordered_set<std::uint64_t>>>>;
    // Whether an endpoint, also of a plain service, answers on a new connection
    {
        client.reaches(engine, timeout)
        } -> std::same_as<boost::asio::awaitable<bool>>;
};

/// The platform-specific parts of an entry node.
template <class Platform>
concept entry_platform = entry_dialect<typename Platform::dialect> &&
    entry_view_source<typename Platform::view_source> &&
    entry_engine_client<typename Platform::engine_client>;

} // namespace marjorampath::serving
