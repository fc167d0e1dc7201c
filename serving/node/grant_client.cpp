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

asio::awaitable<grant_reply> grant_client::request(grant_request query)
{
    auto initiate = [this](auto&& handler, grant_request const& pending)
    {
        using handler_type = std::decay_t<decltype(handler)>;
        auto shared =
            std::make_shared<handler_type>(std::forward<decltype(handler)>(handler));
        pending_requests_.emplace(pending.request, [shared](grant_reply const& reply)
                                  { std::move (*shared)(reply); });
        send(pending);
    };
    auto operation =
        asio::async_initiate<asio::use_awaitable_t<> const, void(grant_reply)>(
            initiate, asio::use_awaitable, query);
    co_return co_await std::move(operation);
}

void grant_client::send(message const& outgoing)
{
    outbox_.push_back(outgoing);
    if (outbox_.size() == 1)
        asio::post(*traffic_, [this] { flush(); });
}

void grant_client::flush()
{
    asio::post(*control_,
               [this, messages = std::exchange(outbox_, {})]
               {
                   for (auto const& each : messages)
                       deliver(each);
               });
}

void grant_client::deliver(message const& outgoing)
{
    if (auto const* report = std::get_if<release_report>(&outgoing))
        return service_->release(*report);
    if (auto const* withdrawn = std::get_if<request_id>(&outgoing))
        return service_->withdraw(*withdrawn);
    auto const& query = std::get<grant_request>(outgoing);
    service_->request(query, [this, request = query.request](grant_reply const& reply)
                      { collect({.request = request, .reply = reply}); });
}

void grant_client::collect(answer_message const& answer)
{
    answers_.push_back(answer);
    if (answers_.size() > 1)
        return;
    asio::post(*control_,
               [this]
               {
                   asio::post(*traffic_,
                              [this, answers = std::exchange(answers_, {})]
                              {
                                  for (auto const& each : answers)
                                      complete(each);
                              });
               });
}

void grant_client::complete(answer_message const& answer)
{
    auto const& [request, reply] = answer;
    auto const found = pending_requests_.find(request);
    if (found != pending_requests_.end())
    {
        auto const handler = std::move(found->second);
        pending_requests_.erase(found);
        handler(reply);
        return;
    }

    // The request was cancelled before the grant arrived
    if (auto const* grant = std::get_if<grant_action>(&reply))
        release({.request = request,
                 .endpoint = grant->endpoint,
                 .reason = release_reason::cancelled});
}

void grant_client::cancel(request_id request)
{
    auto const found = pending_requests_.find(request);
    if (found == pending_requests_.end())
        return;
    auto const handler = std::move(found->second);
    pending_requests_.erase(found);
    send(request);

    refuse_action const refusal{
        .request = request, .entry = {}, .reason = error_kind::caller_gone};
    asio::post(*traffic_, [handler, refusal] { handler(refusal); });
}

void grant_client::release(release_report const& report)
{
    send(report);
}

} // namespace marjorampath::serving
