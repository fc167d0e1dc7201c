#include <serving/endpoint/make_directory_entry.hpp>

namespace marjorampath::serving
{

directory_entry make_directory_entry(endpoint_announcement const& endpoint)
{
    // An invalid address is the unspecified one, to which connections fail
    boost::system::error_code invalid;
    auto const address = boost::asio::ip::make_address(endpoint.address, invalid);
    return {.id = endpoint.id,
            .name = endpoint.name,
            .address = {address, invalid ? std::uint16_t{0} : endpoint.port},
            .kind = {},
            .zone = endpoint.zone,
            .leaving = false};
}

} // namespace marjorampath::serving
