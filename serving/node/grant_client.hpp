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

/// Passes the grant requests of a traffic thread to the control thread and the answers
/// back. Messages of one event loop iteration are passed as one batch, which reduces the
/// wakeups between busy threads. Must be used on its traffic thread only.
class grant_client
{
public:
    /// Connects a traffic thread's loop to a service on the control thread's loop. All
    /// three must outlive this object.
    grant_client(boost::asio::io_context& traffic, boost::asio::io_context& control,
                 grant_service const& service);

    /// Requests a grant; completes with the answer or when the request is cancelled.
    boost::asio::awaitable<grant_reply> request(grant_request query);

    /// Completes a pending request with the refusal `caller_gone`. A grant that arrives
    /// later is released.
    void cancel(request_id request);

    /// Reports that a granted request no longer runs.
    void release(release_report const& report);

private:
    // Message to the control thread: a request, a release or a withdrawal
    using message = std::variant<grant_request, release_report, request_id>;

    // Message to the traffic thread
    struct answer_message
    {
        // The request
        request_id request;
        // Its answer
        grant_reply reply;
    };

    // Queues a message; the queue is flushed in the next iteration of the traffic loop
    void send(message const& outgoing);

    // Sends the queued messages to the control thread
    void flush();

    // Passes a message to the service; runs on the control thread
    void deliver(message const& outgoing);

    // Queues an answer for the traffic thread; runs on the control thread
    void collect(answer_message const& answer);

    // Resumes the coroutine that awaits an answer, or releases the grant if there is none
    void complete(answer_message const& answer);

    // Event loop of the traffic thread
    boost::asio::io_context* traffic_;
    // Event loop of the control thread
    boost::asio::io_context* control_;
    // Service of the control thread
    grant_service const* service_;
    // Messages not yet sent to the control thread
    std::vector<message> outbox_;
    // Answers not yet sent to the traffic thread; used on the control thread only
    std::vector<answer_message> answers_;
    // Completion handlers of the pending requests
    std::unordered_map<request_id, std::function<void(grant_reply const&)>>
        pending_requests_;
};

} // namespace marjorampath::serving
