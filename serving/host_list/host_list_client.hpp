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
    /// Why there is no list; clear on success.
    std::error_code error;
    /// All hosts.
    std::vector<host_entry> hosts;
};

/// Reads the host list. Allows one call at a time. Use only from the executor's thread.
class host_list_client
{
public:
    /// Stores the options; the first call connects.
    host_list_client(boost::asio::any_io_executor const& executor,
                     http_reader::options values);

    /// Reads the whole list; a malformed one gives `remote_error::malformed`.
    boost::asio::awaitable<host_list_read_result> read();

    /// Aborts a call in progress with an error.
    void close()
    {
        reader_.close();
    }

private:
    // Sends the HTTP requests
    http_reader reader_;
};

} // namespace marjorampath::serving
