#pragma once

#include <serving/node/grant_service.hpp>

#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <functional>
#include <memory>
#include <unordered_map>
#include <variant>
#include <vector>

namespace marjorampath::serving
{

/// The side of a traffic thread: passes its grant requests to the control thread and the
/// answers back. Messages that come up in one turn of a loop cross together, so that a
/// busy thread wakes the other one less often. Used on that traffic thread only.
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
    // What is sent to the control thread
    using message = std::variant<grant_request, release_report, request_id>;

    // An answer on its way to this thread
    struct answered
    {
        // The request
        request_id request;
        // Its answer
        grant_reply reply;
    };

    // Sends a message to the control thread at the end of this turn
    void send(message const& sent);

    // Sends the messages of this turn
    void flush();

    // Hands a message to the service; on the control thread
    void deliver(message const& sent);

    // Collects an answer; on the control thread
    void collect(answered const& reply);

    // Takes an answer on this thread
    void take(answered const& answer);

    // This thread
    boost::asio::io_context* traffic_;
    // The control thread
    boost::asio::io_context* control_;
    // Service of the control thread
    grant_service const* service_;
    // Messages of this turn
    std::vector<message> outbox_;
    // Answers of the control thread's turn; used on the control thread only
    std::vector<answered> answers_;
    // Coroutines that wait for an answer
    std::unordered_map<request_id, std::function<void(grant_reply const&)>> waiters_;
};

} // namespace marjorampath::serving
