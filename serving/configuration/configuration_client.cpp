#include <serving/configuration/configuration_client.hpp>
#include <serving/remote/request_target.hpp>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace marjorampath::serving
{

namespace asio = boost::asio;

namespace
{

// Path of all values; a key follows
constexpr std::string_view values_path = "/v1/values/";

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
    request_target target(values_path);
    target.add_key(key);
    auto answer = co_await reader_.get(target.text(), std::chrono::milliseconds(0));
    co_return to_configuration_read_result(std::move(answer));
}

asio::awaitable<configuration_read_result>
configuration_client::wait_for_newer(std::string_view key, std::uint64_t after,
                                     std::chrono::milliseconds wait)
{
    auto const bounded_wait = std::min(wait, max_wait);
    request_target target(values_path);
    target.add_key(key)
        .add_parameter("after", after)
        .add_parameter("wait_ms", static_cast<std::uint64_t>(bounded_wait.count()));
    auto answer = co_await reader_.get(target.text(), bounded_wait);
    co_return to_configuration_read_result(std::move(answer));
}

} // namespace marjorampath::serving
