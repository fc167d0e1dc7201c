#pragma once

#include <marjorampath/core/identifier.hpp>
#include <serving/host_list/host_entry.hpp>
#include <serving/link/link_error.hpp>
#include <serving/link/peer_link.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace marjorampath::serving
{

/// The links to the other entry hosts of the region, found by the host list. Used on the
/// control thread only.
class fleet_peers
{
public:
    /// How to construct fleet_peers.
    struct options
    {
        /// Region whose hosts are linked.
        std::string region;
        /// TLS with the certificate of this host; null for connections without TLS.
        std::shared_ptr<boost::asio::ssl::context> tls = nullptr;
    };

    /// Has no links. `self` tells the first message of a connection.
    fleet_peers(boost::asio::io_context& control, options chosen,
                std::function<node_hello()> self);

    /// Takes a host list. Links to hosts that are not listed are closed.
    void update(std::vector<host_entry> const& hosts);

    /// Calls a host. The handler is called once and later, with an error where the host
    /// is unknown or did not answer.
    template <class Request>
    call_number call(host_id to, Request const& request, duration timeout,
                     call_handler<typename node_method<Request>::reply> handler)
    {
        auto const found = links_.find(to);
        if (found != links_.end())
            return found->second->call(request, timeout, std::move(handler));
        boost::asio::post(control_, [handler = std::move(handler)]
                          { handler(make_error_code(link_error::unreachable), {}); });
        return 0;
    }

    /// Gives up on a call; its handler is not called.
    void cancel(host_id to, call_number number);

    /// Closes all links.
    void close();

    /// Bytes that passed in all links so far.
    [[nodiscard]] stream_traffic traffic() const noexcept;

private:
    // The control thread's event loop
    boost::asio::io_context& control_;
    // Options
    options options_;
    // The first message of a connection
    std::function<node_hello()> self_;
    // Links by host
    std::map<host_id, std::shared_ptr<peer_link>> links_;
    // Bytes that passed in links that were closed
    stream_traffic past_;
};

} // namespace marjorampath::serving
