#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marjorampath::serving
{

/// The API routes for generation requests.
enum class generation_route
{
    /// `POST /v1/completions`
    completions,
    /// `POST /v1/chat/completions`
    chat_completions
};

/// Returns the URL path of a route.
std::string_view to_path(generation_route route) noexcept;

/// The fields of a generation request body that routing and retries depend on.
struct generation_body
{
    /// Name of the adapter.
    std::string model;
    /// Whether the answer is a stream of server-sent events.
    bool streamed = false;
    /// Maximum number of tokens to generate; zero if the body sets no limit.
    std::uint32_t max_tokens = 0;
    /// Estimated number of prompt tokens, from the length of the prompt.
    std::uint32_t prompt_tokens = 0;
    /// Hash of the first bytes of the prompt; equal for requests that may share a prefix
    /// cache entry.
    std::uint64_t prefix_hash = 0;
    /// Whether an interrupted answer can be continued from its text: a single choice from
    /// a text prompt.
    bool continuable = false;
};

/// Changes to the body of a generation request before it is sent to an engine.
struct engine_body_options
{
    /// Route of the request.
    generation_route route = generation_route::completions;
    /// Adapter version as `ADAPTER@VERSION`; replaces `model`.
    std::string_view qualified_adapter = {};
    /// Priority; higher runs first. Zero leaves the body without one.
    std::int32_t priority = 0;
    /// Text already delivered to the caller, escaped as inside a JSON string; the engine
    /// continues after it.
    std::string_view delivered_text = {};
    /// Number of tokens already delivered; subtracted from the token limits.
    std::uint64_t delivered_tokens = 0;
};

/// Parses the body of a generation request. If it is malformed, returns nothing and sets
/// `problem` to an error message for the caller.
std::optional<generation_body>
read_generation_body(generation_route route, std::string_view body, std::string& problem);

/// Makes the request body for an engine. `body` must have been accepted by
/// `read_generation_body`.
std::string make_engine_body(std::string_view body, engine_body_options const& options);

} // namespace marjorampath::serving
