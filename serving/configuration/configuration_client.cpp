#include <serving/configuration/configuration_client.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace marjorampath::serving
{

namespace asio = boost::asio;

namespace
{

configuration_read_result to_configuration_read_result(http_read_result answer)
{
    configuration_read_result result;
    result.error = answer.error;
    result.revision = answer.revision;
    if (!answer.error)
        result.value = std::move(answer.body);
    return result;
}

} // namespace

configuration_client::configuration_client(asio::any_io_executor const& executor,
                                           http_reader::options values)
    : reader_(executor, std::move(values))
{
}

asio::awaitable<configuration_read_result>
configuration_client::read(std::string_view key)
{
    auto target = fmt::format("/v1/values/{}", key);
    auto answer = co_await reader_.get(std::move(target), std::chrono::milliseconds(0));
    co_return to_configuration_read_result(std::move(answer));
}

asio::awaitable<configuration_read_result>
configuration_client::wait_for_newer(std::string_view key, std::uint64_t after,
                                     std::chrono::milliseconds wait)
{
    auto const bounded = std::min(wait, max_wait);
    auto target =
        fmt::format("/v1/values/{}?after={}&wait_ms={}", key, after, bounded.count());
    auto answer = co_await reader_.get(std::move(target), bounded);
    co_return to_configuration_read_result(std::move(answer));
}

} // namespace marjorampath::serving
