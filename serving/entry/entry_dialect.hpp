#pragma once

#include <marjorampath/core/error_kind.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/deployment/endpoint_announcement.hpp>
#include <marjorampath/dispatch/attempt_end.hpp>
#include <serving/caller/caller_request.hpp>
#include <serving/caller/caller_session.hpp>
#include <serving/caller/error_reply.hpp>
#include <serving/endpoint/answer_reader.hpp>
#include <serving/entry/entry_request.hpp>

#include <concepts>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

namespace marjorampath::serving
{

/// What callers and endpoints of a platform speak: how their requests are read, passed on
/// and answered. All functions are pure.
template <class Dialect>
concept entry_dialect = requires(caller_message const& message,
                                 std::shared_ptr<route_table const> const& routes,
                                 time_point now, endpoint_announcement const& endpoint,
                                 endpoint_send const& send,
                                 answer_reader::head const& head, std::string_view name,
                                 endpoint_verdict verdict,
                                 error_reply_options const& error)
{
    // Reads a request, or tells why it is refused
    {
        Dialect::read_request(message, routes, now)
        } -> std::same_as<std::variant<entry_request, error_kind>>;
    // The identifier of a request that may not be readable otherwise
    {
        Dialect::request_name(message)
        } -> std::same_as<std::string>;
    // The request as it goes to an endpoint
    {
        Dialect::endpoint_message(message, endpoint, send)
        } -> std::same_as<caller_message>;
    // What an endpoint's head says about the request `name` sent to the instance `name`
    {
        Dialect::judge(head, name, name)
        } -> std::same_as<endpoint_verdict>;
    // The end of an attempt that did not run
    {
        Dialect::end_of(verdict)
        } -> std::same_as<attempt_end>;
    // An endpoint's head as it goes to the caller
    {
        Dialect::caller_head(head)
        } -> std::same_as<caller_session::answer_head>;
    // An answer of this host
    {
        Dialect::error_answer(error, name)
        } -> std::same_as<caller_answer>;
};

} // namespace marjorampath::serving
