#pragma once

#include <marjorampath/core/error_kind.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/deployment/endpoint_announcement.hpp>
#include <marjorampath/dispatch/attempt_end.hpp>
#include <marjorampath/organisation/access_key.hpp>
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

/// The HTTP conventions of a platform: how requests of callers are parsed, forwarded to
/// endpoints and answered. All functions are pure.
template <class Dialect>
concept entry_dialect = requires(caller_message const& message,
                                 std::shared_ptr<route_table const> const& routes,
                                 time_point now, endpoint_announcement const& endpoint,
                                 attempt_options const& options,
                                 answer_reader::head const& head, std::string_view name,
                                 bool reused, endpoint_verdict verdict,
                                 error_reply_options const& error)
{
    // Parses a request; an error kind if it is rejected
    {
        Dialect::read_request(message, routes, now)
        } -> std::same_as<std::variant<entry_request, error_kind>>;
    // The identifier that the caller gave its attempt; works on malformed requests too
    {
        Dialect::caller_attempt_id(message)
        } -> std::same_as<std::string>;
    // The route of a request, or null
    {
        Dialect::find_route(message, *routes)
        } -> std::same_as<route const*>;
    // The key by which the caller proves its organisation
    {
        Dialect::caller_key(message)
        } -> std::same_as<access_key>;
    // The request as sent to an endpoint
    {
        Dialect::endpoint_message(message, endpoint, options)
        } -> std::same_as<outgoing_message>;
    // The request as another host of the fleet serves it for this one
    {
        Dialect::forwarded_message(message, options)
        } -> std::same_as<outgoing_message>;
    // Classifies an endpoint's answer by its head, given the identifier of the caller's
    // attempt, the name of the endpoint that the request was sent to, and whether the
    // connection answered requests before
    {
        Dialect::classify_answer(head, name, name, reused)
        } -> std::same_as<endpoint_verdict>;
    // The request rate that an endpoint's head names
    {
        Dialect::rate_limit(head)
        } -> std::same_as<named_rate_limit>;
    // The pause that the head of an endpoint's refusal asks for
    {
        Dialect::requested_pause(head)
        } -> std::same_as<named_pause>;
    // Whether an endpoint's head says that it is leaving
    {
        Dialect::is_leaving(head)
        } -> std::same_as<bool>;
    // Maps a verdict to the end of an attempt whose request was not run
    {
        Dialect::to_attempt_end(verdict)
        } -> std::same_as<attempt_end>;
    // An endpoint's head as forwarded to the caller
    {
        Dialect::caller_head(head)
        } -> std::same_as<caller_session::answer_head>;
    // An error answer of this host to the request with this identifier
    {
        Dialect::error_answer(error, name)
        } -> std::same_as<caller_answer>;
};

} // namespace marjorampath::serving
