#pragma once

#include <serving/caller/error_reply.hpp>
#include <serving/node/traffic_context.hpp>

#include <string_view>

namespace marjorampath::serving
{

/// The answer to `GET /v1/models`: the adapters of a service.
caller_answer make_model_list(routing_view const& view, std::string_view service);

} // namespace marjorampath::serving
