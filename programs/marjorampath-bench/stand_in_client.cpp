#include <programs/marjorampath-bench/stand_in_client.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace marjorampath::bench
{

namespace http = boost::beast::http;

unsigned post_to_stand_in(boost::asio::ip::tcp::endpoint const& target, char const* path,
                          std::string const& body,
                          std::vector<std::pair<std::string, std::string>> const& fields)
{
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket(context);
    boost::system::error_code error;
    socket.connect(target, error);
    if (error)
        return 0;

    http::request<http::string_body> request{http::verb::post, path, 11};
    request.set(http::field::host, "stand-in");
    for (auto const& [name, value] : fields)
        request.set(name, value);
    request.body() = body;
    request.prepare_payload();
    http::write(socket, request, error);
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> answer;
    if (!error)
        http::read(socket, buffer, answer, error);
    return error ? 0 : answer.result_int();
}

} // namespace marjorampath::bench
