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

/// The links to the other entry hosts of the region, according to the host list. Used on
/// the control thread only.
class fleet_peers
{
public:
    /// How to construct fleet_peers.
    struct options
    {
        /// Region whose entry hosts get a link.
        std::string region;
        /// TLS with the certificate of this host; null for connections without TLS.
        std::shared_ptr<boost::asio::ssl::context> tls = nullptr;
    };

    /// Has no links yet. `make_hello` returns the first message of a new connection.
    fleet_peers(boost::asio::io_context& control, options chosen,
                std::function<node_hello()> make_hello);

    /// Applies a host list: makes links to new hosts and closes those to unlisted ones.
    void update(std::vector<host_entry> const& hosts);

    /// Calls a host. The handler is called once, after this function has returned, with
    /// `unreachable` if the host is not listed or another `link_error` if it did not
    /// reply.
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

    /// Cancels a call; its handler is not called. Call number 0 is ignored.
    void cancel(host_id to, call_number number);

    /// Closes all links.
    void close();

    /// Bytes sent and received over all links so far, including closed ones.
    [[nodiscard]] stream_traffic traffic() const noexcept;

private:
    // The control thread's event loop
    boost::asio::io_context& control_;
    options options_;
    // Returns the first message of a connection
    std::function<node_hello()> make_hello_;
    // Links by host
    std::map<host_id, std::shared_ptr<peer_link>> links_;
    // Traffic of the links that were removed
    stream_traffic closed_traffic_;
};

} // namespace marjorampath::serving
