#pragma once

#include <serving/node/traffic_context.hpp>

#include <boost/asio/awaitable.hpp>

namespace marjorampath::serving
{

/// Answers a request of the product's own interface: health, readiness, models, model
/// services and plain services of the sheet.
boost::asio::awaitable<void> answer_service_request(traffic_context& context,
                                                    caller_session& session,
                                                    caller_message const& message);

} // namespace marjorampath::serving
