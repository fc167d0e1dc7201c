#pragma once

#include <programs/marjorampath-standin/http_server.hpp>
#include <serving/remote/http_reader.hpp>
#include <serving/remote/request_target.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <chrono>
#include <cstdint>
#include <exception>
#include <optional>
#include <platform/standin/operator_documents.hpp>
#include <platform/standin/store_standin.hpp>
#include <platform/store_client.hpp>
#include <string>
#include <string_view>
#include <utility>

namespace marjorampath::test
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// Clients of a store that answers in pages, each of which may fail, on one event loop.
struct store_fixture
{
    store_fixture()
    {
        server.start();
    }

    // A client of the store
    [[nodiscard]] platform::store_client make_client()
    {
        return platform::store_client(loop.get_executor(), {.server = server.address()});
    }

    // Runs a coroutine to its end
    template <class Result>
    Result run(asio::awaitable<Result> operation)
    {
        std::optional<Result> result;
        asio::co_spawn(loop, std::move(operation),
                       [&](std::exception_ptr const& failure, Result value)
                       {
                           if (failure)
                               std::rethrow_exception(failure);
                           result = std::move(value);
                       });
        auto const end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!result && std::chrono::steady_clock::now() < end)
            loop.run_one_for(std::chrono::milliseconds(100));
        BOOST_REQUIRE(result.has_value());
        return std::move(*result);
    }

    // Makes each page the first one
    void repeat_pages(std::size_t items)
    {
        call_store(fmt::format("/standin/pages?items={}&repeat=1", items));
    }

    // Sends a request to the stand-in
    void call_store(std::string const& target, std::string const& body = {})
    {
        BOOST_REQUIRE(run(exchange(target, body)) == http::status::ok);
    }

    // The operator writes a configuration
    void write_configuration(std::uint64_t version)
    {
        call_store(fmt::format("/standin/put?key={}", platform::configuration_key),
                   platform::configuration_document({.version = version}));
    }

    // The operator announces a version of an adapter
    void write_version(std::string const& adapter, std::uint64_t version)
    {
        call_store(
            fmt::format("/standin/put?key={}", platform::version_key("m", adapter)),
            platform::version_document("m", adapter, version));
    }

    // Writes an item under a key of any bytes
    void write_item(std::string const& key, std::string const& value)
    {
        call_store(
            serving::request_target("/standin/put").add_parameter("key", key).text(),
            value);
    }

    // Sets the size of a page, and whether pages behind the first one fail
    void set_pages(std::size_t items, bool later_fail)
    {
        call_store(
            fmt::format("/standin/pages?items={}&later_fail={:d}", items, later_fail));
    }

    asio::io_context loop;
    standin::store_standin store{loop};
    standin::http_server server{loop,
                                {asio::ip::address_v4::loopback(), 0},
                                [this](standin::http_exchange& exchange)
                                { return store.handle(exchange); }};

private:
    asio::awaitable<http::status> exchange(std::string target, std::string body)
    {
        boost::beast::tcp_stream stream(loop);
        co_await stream.async_connect(server.address(), asio::use_awaitable);
        http::request<http::string_body> request(http::verb::put, target, 11);
        request.body() = std::move(body);
        request.prepare_payload();
        co_await http::async_write(stream, request, asio::use_awaitable);
        boost::beast::flat_buffer buffer;
        http::response<http::string_body> answer;
        co_await http::async_read(stream, buffer, answer, asio::use_awaitable);
        co_return answer.result();
    }
};

} // namespace marjorampath::test
