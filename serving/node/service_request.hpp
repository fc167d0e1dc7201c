#pragma once

#include <serving/node/traffic_context.hpp>

#include <boost/asio/awaitable.hpp>

namespace marjorampath::serving
{

/// Answers a caller's request: health and readiness checks, model lists, and requests to
/// the model services and plain services of the sheet. `context`, `session` and `message`
/// must outlive the coroutine.
boost::asio::awaitable<void> answer_service_request(traffic_context& context,
                                                    caller_session& session,
                                                    caller_message const& message);

} // namespace marjorampath::serving
