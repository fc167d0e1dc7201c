#include <serving/endpoint/announced_place.hpp>

namespace marjorampath::serving
{

directory_entry make_directory_entry(endpoint_announcement const& endpoint)
{
    return {.id = endpoint.id,
            .name = endpoint.name,
            .address = {boost::asio::ip::make_address(endpoint.address), endpoint.port},
            .kind = {},
            .zone = endpoint.zone,
            .leaving = false};
}

} // namespace marjorampath::serving
