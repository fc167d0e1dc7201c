#pragma once

#include <serving/remote/http_reader.hpp>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

namespace marjorampath::serving
{

/// The result of one read from the configuration service.
struct configuration_read_result
{
    /// Why there is no value; `remote_error::not_modified` where none newer came.
    std::error_code error;
    /// Revision of the value.
    std::uint64_t revision = 0;
    /// The value.
    std::string value;
};

/// Reads values from the configuration service and waits for newer ones. One call at a
/// time. Must be used from the executor's thread only.
class configuration_client
{
public:
    /// The longest time for which one call waits for a newer revision.
    static constexpr std::chrono::milliseconds max_wait{30'000};

    /// Does not connect yet.
    configuration_client(boost::asio::any_io_executor const& executor,
                         http_reader::options values);

    /// Reads a value.
    boost::asio::awaitable<configuration_read_result> read(std::string_view key);

    /// Waits until a value has a newer revision than `after`, at most for `wait`.
    boost::asio::awaitable<configuration_read_result>
    wait_for_newer(std::string_view key, std::uint64_t after,
                   std::chrono::milliseconds wait);

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
