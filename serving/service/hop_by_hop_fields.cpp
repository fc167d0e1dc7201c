#include <serving/service/hop_by_hop_fields.hpp>

#include <boost/beast/http/rfc7230.hpp>

#include <array>
#include <string>
#include <vector>

namespace marjorampath::serving
{

namespace
{

namespace http = boost::beast::http;

// Fields that are never passed on
constexpr std::array hop_by_hop_fields{
    http::field::connection,
    http::field::keep_alive,
    http::field::proxy_connection,
    http::field::proxy_authenticate,
    http::field::proxy_authorization,
    http::field::te,
    http::field::trailer,
    http::field::transfer_encoding,
    http::field::upgrade,
};

} // namespace

void remove_hop_by_hop_fields(http::fields& fields)
{
    std::vector<std::string> named;
    for (auto const token : http::token_list(fields[http::field::connection]))
        named.emplace_back(token);
    for (auto const& name : named)
        fields.erase(name);
    for (auto const name : hop_by_hop_fields)
        fields.erase(name);
}

} // namespace marjorampath::serving
