#pragma once

#include <serving/host_list/host_entry.hpp>
#include <serving/remote/http_reader.hpp>

#include <boost/asio/awaitable.hpp>

#include <system_error>
#include <vector>

namespace marjorampath::serving
{

/// The result of one read of the host list.
struct host_list_read_result
{
    /// Why there is no list.
    std::error_code error;
    /// All hosts.
    std::vector<host_entry> hosts;
};

/// Reads the host list. One call at a time. Must be used from the executor's thread only.
class host_list_client
{
public:
    /// Does not connect yet.
    host_list_client(boost::asio::any_io_executor const& executor,
                     http_reader::options values);

    /// Reads the whole list; a malformed one is `remote_error::malformed`.
    boost::asio::awaitable<host_list_read_result> read();

    /// Ends a call in progress with an error.
    void close()
    {
        reader_.close();
    }

private:
    // Carries the requests
    http_reader reader_;
};

} // namespace marjorampath::serving
