#pragma once

#include <serving/node/grant_service.hpp>

#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>
#include <memory>
#include <unordered_map>

namespace marjorampath::serving
{

/// The side of a traffic thread: passes its grant requests to the control thread and the
/// answers back. Used on that traffic thread only.
class grant_client
{
public:
    /// Joins a traffic thread and the service of the control thread; all three outlive
    /// this object.
    grant_client(boost::asio::io_context& traffic, boost::asio::io_context& control,
                 grant_service const& service);

    /// Asks for a grant and waits for the answer, or until `cancel`.
    boost::asio::awaitable<grant_reply> request(grant_request question);

    /// Ends the wait for an answer with a refusal as `caller_gone`. A grant that comes
    /// later is released.
    void cancel(request_id request);

    /// Tells that a granted request no longer runs.
    void release(release_report const& report);

private:
    // Sends a request to the control thread
    void send(grant_request const& question, std::function<void(grant_reply)> waiter);

    // Takes an answer from the control thread
    void take(request_id request, grant_reply const& reply);

    // This thread
    boost::asio::io_context* traffic_;
    // The control thread
    boost::asio::io_context* control_;
    // Service of the control thread
    grant_service const* service_;
    // Coroutines that wait for an answer
    std::unordered_map<request_id, std::function<void(grant_reply)>> waiters_;
};

} // namespace marjorampath::serving
