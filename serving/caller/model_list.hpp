#pragma once

#include <serving/caller/error_reply.hpp>
#include <serving/node/traffic_context.hpp>

#include <string_view>

namespace marjorampath::serving
{

/// Makes the answer to `GET /v1/models`: the adapters that the sheet assigns to a model
/// service. It is an error answer if there is no sheet or no such service.
caller_answer make_model_list(routing_view const& view, std::string_view service);

} // namespace marjorampath::serving
