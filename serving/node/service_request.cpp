#include <serving/caller/caller_session.hpp>
#include <serving/caller/model_list.hpp>
#include <serving/engine/model_exchange.hpp>
#include <serving/node/service_request.hpp>
#include <serving/service/plain_exchange.hpp>

#include <string>
#include <utility>

namespace marjorampath::serving
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;

} // namespace

asio::awaitable<void> answer_service_request(traffic_context& context,
                                             caller_session& session,
                                             caller_message const& message)
{
    std::string problem;
    auto const request = read_caller_request(message, problem);
    if (!request)
    {
        auto reply =
            make_error_reply({.kind = error_kind::malformed_request, .message = problem});
        co_await session.send(std::move(reply));
        co_return;
    }

    auto const ready = context.view.sheet_in_force && !context.callers.stopping;
    switch (request->route.kind)
    {
    case route_kind::health:
    case route_kind::readiness:
    {
        auto const healthy = ready || request->route.kind == route_kind::health;
        caller_answer reply(
            healthy ? http::status::ok : http::status::service_unavailable, 11);
        reply.set(http::field::content_type, "text/plain");
        reply.body() = healthy ? "ok\n" : "not ready\n";
        co_await session.send(std::move(reply));
        break;
    }
    case route_kind::models:
    {
        auto reply = make_model_list(context.view, request->route.service);
        co_await session.send(std::move(reply));
        break;
    }
    case route_kind::completions:
    case route_kind::chat_completions:
    {
        model_exchange exchange(context, session, *request);
        co_await exchange.run();
        break;
    }
    case route_kind::plain:
    {
        plain_exchange exchange(context, session, *request);
        co_await exchange.run();
        break;
    }
    case route_kind::none:
    {
        auto reply = make_error_reply({.kind = error_kind::no_such_route, .message = {}});
        co_await session.send(std::move(reply));
        break;
    }
    }
}

} // namespace marjorampath::serving
