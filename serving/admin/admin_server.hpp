#pragma once

#include <serving/admin/admin_route.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>

#include <functional>
#include <string>
#include <vector>

namespace marjorampath::serving
{

/// Serves the administration API and the metrics over HTTP. Used on the control thread.
class admin_server
{
public:
    /// Joins routes, tokens and the source of the metrics' text.
    admin_server(boost::asio::io_context& control, admin_tokens tokens,
                 std::vector<admin_route> routes, std::function<std::string()> metrics);

    /// Opens the listening socket and begins to accept.
    boost::system::error_code listen(boost::asio::ip::tcp::endpoint const& address);

    /// The address that is listened on.
    [[nodiscard]] boost::asio::ip::tcp::endpoint address() const;

    /// Accepts no further connection.
    void stop();

private:
    using request_message = boost::beast::http::request<boost::beast::http::string_body>;
    using answer_message = boost::beast::http::response<boost::beast::http::string_body>;

    // Accepts connections until stopped
    boost::asio::awaitable<void> accept();

    // Answers the requests of one connection
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    // Answers one request
    answer_message answer(request_message const& request) const;

    // Answers a request whose caller is known
    answer_message call(admin_route const& route, admin_request const& request) const;

    // The control thread's event loop
    boost::asio::io_context& control_;
    // Accepts connections
    boost::asio::ip::tcp::acceptor acceptor_;
    // Who may call
    admin_tokens tokens_;
    // What can be called
    std::vector<admin_route> routes_;
    // Text of the metrics
    std::function<std::string()> metrics_;
    // Connections that are open
    std::size_t open_ = 0;
};

} // namespace marjorampath::serving
