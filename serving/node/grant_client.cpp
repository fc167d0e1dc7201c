#include <serving/node/grant_client.hpp>

#include <boost/asio/post.hpp>

#include <utility>

namespace marjorampath::serving
{

namespace
{

namespace asio = boost::asio;

} // namespace

grant_client::grant_client(asio::io_context& traffic, asio::io_context& control,
                           grant_service const& service)
    : traffic_(&traffic), control_(&control), service_(&service)
{
}

asio::awaitable<grant_reply> grant_client::request(grant_request question)
{
    auto initiate = [this](auto&& handler, grant_request const& asked)
    {
        using handler_type = std::decay_t<decltype(handler)>;
        auto shared = std::make_shared<handler_type>(std::move(handler));
        send(asked,
             [shared](grant_reply reply) { std::move (*shared)(std::move(reply)); });
    };
    auto operation =
        asio::async_initiate<asio::use_awaitable_t<> const, void(grant_reply)>(
            initiate, asio::use_awaitable, std::move(question));
    co_return co_await std::move(operation);
}

void grant_client::send(grant_request const& question,
                        std::function<void(grant_reply)> waiter)
{
    waiters_.emplace(question.request, std::move(waiter));
    asio::post(
        *control_,
        [this, question]
        {
            auto answer = [this, request = question.request](grant_reply const& reply)
            { asio::post(*traffic_, [this, request, reply] { take(request, reply); }); };
            service_->request(question, answer);
        });
}

void grant_client::take(request_id request, grant_reply const& reply)
{
    auto const found = waiters_.find(request);
    if (found != waiters_.end())
    {
        auto const waiter = std::move(found->second);
        waiters_.erase(found);
        waiter(reply);
        return;
    }

    // The request was cancelled while the grant was under way
    if (auto const* grant = std::get_if<grant_action>(&reply))
        release({.request = request,
                 .endpoint = grant->endpoint,
                 .reason = release_reason::cancelled});
}

void grant_client::cancel(request_id request)
{
    auto const found = waiters_.find(request);
    if (found == waiters_.end())
        return;
    auto const waiter = std::move(found->second);
    waiters_.erase(found);
    asio::post(*control_, [this, request] { service_->withdraw(request); });

    refuse_action const refusal{
        .request = request, .entry = {}, .reason = error_kind::caller_gone};
    asio::post(*traffic_, [waiter, refusal] { waiter(refusal); });
}

void grant_client::release(release_report const& report)
{
    asio::post(*control_, [this, report] { service_->release(report); });
}

} // namespace marjorampath::serving
