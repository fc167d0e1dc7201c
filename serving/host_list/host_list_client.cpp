#include <serving/host_list/host_list_client.hpp>
#include <serving/remote/remote_error.hpp>

#include <utility>

namespace marjorampath::serving
{

namespace asio = boost::asio;

host_list_client::host_list_client(asio::any_io_executor const& executor,
                                   http_reader::options values)
    : reader_(executor, std::move(values))
{
}

asio::awaitable<host_list_read_result> host_list_client::read()
{
    auto answer = co_await reader_.get("/v1/hosts", std::chrono::milliseconds(0));
    host_list_read_result result;
    result.error = answer.error;
    if (result.error)
        co_return result;

    auto hosts = parse_host_list(answer.body);
    if (!hosts)
        result.error = remote_error::malformed;
    else
        result.hosts = std::move(*hosts);
    co_return result;
}

} // namespace marjorampath::serving
