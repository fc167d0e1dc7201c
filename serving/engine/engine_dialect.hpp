#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marjorampath::serving
{

/// The two forms of generation requests.
enum class generation_route
{
    /// `POST /v1/completions`
    completions,
    /// `POST /v1/chat/completions`
    chat_completions
};

/// The path of a form of request.
std::string_view to_path(generation_route route) noexcept;

/// What the system needs to know of the body of a generation request.
struct generation_body
{
    /// Name of the adapter.
    std::string model;
    /// Whether the answer is streamed.
    bool streamed = false;
    /// Largest number of tokens to generate; zero where the body names none.
    std::uint32_t max_tokens = 0;
    /// Estimated number of prompt tokens.
    std::uint32_t prompt_tokens = 0;
    /// Hash of the leading part of the prompt.
    std::uint64_t prefix = 0;
    /// Whether a cut answer can be continued from its text: one choice from a text
    /// prompt.
    bool continuable = false;
};

/// What is changed in the body of a generation request before an engine gets it.
struct engine_body_options
{
    /// Form of the request.
    generation_route route = generation_route::completions;
    /// Name `ADAPTER@VERSION`.
    std::string_view qualified_adapter = {};
    /// Priority; higher goes first.
    std::int32_t priority = 0;
    /// Text that was delivered already, as the inside of a JSON string; the engine
    /// continues behind it.
    std::string_view delivered_text = {};
    /// Number of tokens that were delivered already.
    std::uint64_t delivered_tokens = 0;
};

/// Reads the body of a generation request. Returns nothing, and sets `problem` to a
/// sentence for the caller, where it is not one.
std::optional<generation_body>
read_generation_body(generation_route route, std::string_view body, std::string& problem);

/// Makes the body for an engine from a body that `read_generation_body` accepted.
std::string make_engine_body(std::string_view body, engine_body_options const& options);

} // namespace marjorampath::serving
