#include <marjorampath/core/hash.hpp>
#include <serving/engine/engine_dialect.hpp>

#include <boost/json.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cassert>

namespace marjorampath::serving
{

namespace
{

namespace json = boost::json;

// Length of the prompt prefix that is hashed to predict prefix cache hits
constexpr std::size_t hashed_prefix_bytes = 512;
// Average text length of a token, for the estimate of prompt tokens
constexpr std::size_t bytes_per_token = 4;

// The string under `key`; empty if it is missing or not a string
json::string_view string_member(json::object const& object, char const* key)
{
    auto const* value = object.if_contains(key);
    auto const* text = value ? value->if_string() : nullptr;
    return text ? json::string_view(*text) : json::string_view();
}

// The number under `key`; zero if it is missing, not a number or out of range
std::uint32_t number_member(json::object const& object, char const* key)
{
    auto const* value = object.if_contains(key);
    if (!value || !value->is_number())
        return 0;
    boost::system::error_code error;
    auto const number = value->to_number<std::uint32_t>(error);
    return error ? 0 : number;
}

// The prompt, or all messages joined; parts that are not strings are skipped
std::string prompt_text(generation_route route, json::object const& object)
{
    if (route == generation_route::completions)
        return std::string(string_member(object, "prompt"));

    std::string text;
    auto const* messages = object.if_contains("messages");
    auto const* list = messages ? messages->if_array() : nullptr;
    if (!list)
        return text;
    for (auto const& message : *list)
        if (auto const* fields = message.if_object())
            text += string_member(*fields, "content");
    return text;
}

bool has_prompt(generation_route route, json::object const& object)
{
    if (route == generation_route::completions)
        return object.contains("prompt");
    auto const* messages = object.if_contains("messages");
    return messages && messages->is_array();
}

// Whether an engine can continue a partial answer: a single choice without `logprobs` or
// `echo`, and for completions a string prompt
bool is_continuable(generation_route route, json::object const& object)
{
    auto const single = !object.contains("n") || number_member(object, "n") == 1;
    auto const has_logprobs_or_echo =
        object.contains("logprobs") || object.contains("echo");
    auto const is_text_prompt =
        route == generation_route::chat_completions || object.at("prompt").is_string();
    return single && !has_logprobs_or_echo && is_text_prompt;
}

// Appends the delivered text to the prompt or as a last assistant message, and lowers the
// token limits by the delivered tokens
void append_delivered(json::object& object, engine_body_options const& options)
{
    auto const text =
        json::parse(fmt::format("\"{}\"", options.delivered_text)).as_string();
    if (options.route == generation_route::completions)
        object.at("prompt").as_string() += text;
    else
    {
        // Tells the engine to continue the last message instead of answering it
        object.at("messages")
            .as_array()
            .push_back(json::object{{"role", "assistant"}, {"content", text}});
        object["continue_final_message"] = true;
        object["add_generation_prompt"] = false;
    }
    for (auto const* key : {"max_tokens", "max_completion_tokens"})
    {
        auto const limit = number_member(object, key);
        if (limit > 0)
            object[key] = std::max<std::uint64_t>(
                1, limit - std::min<std::uint64_t>(limit, options.delivered_tokens));
    }
}

} // namespace

std::string_view to_path(generation_route route) noexcept
{
    return route == generation_route::completions ? "/v1/completions"
                                                  : "/v1/chat/completions";
}

std::optional<generation_body>
read_generation_body(generation_route route, std::string_view body, std::string& problem)
{
    boost::system::error_code error;
    auto const value = json::parse(json::string_view(body.data(), body.size()), error);
    if (error)
    {
        problem = fmt::format("The body is not JSON: {}.", error.message());
        return std::nullopt;
    }
    auto const* object = value.if_object();
    if (!object)
    {
        problem = "The body is not a JSON object.";
        return std::nullopt;
    }
    auto const model = string_member(*object, "model");
    if (model.empty())
    {
        problem = "The body has no text `model`.";
        return std::nullopt;
    }
    if (!has_prompt(route, *object))
    {
        problem = route == generation_route::completions
                      ? "The body has no `prompt`."
                      : "The body has no list `messages`.";
        return std::nullopt;
    }

    auto const* streamed = object->if_contains("stream");
    auto const text = prompt_text(route, *object);
    auto const limit = number_member(*object, "max_tokens");
    return generation_body{
        .model = std::string(model),
        .streamed = streamed && streamed->is_bool() && streamed->get_bool(),
        .max_tokens = limit > 0 ? limit : number_member(*object, "max_completion_tokens"),
        .prompt_tokens = static_cast<std::uint32_t>(text.size() / bytes_per_token + 1),
        .prefix_hash = hash_bytes(std::string_view(text).substr(0, hashed_prefix_bytes)),
        .continuable = is_continuable(route, *object),
    };
}

std::string make_engine_body(std::string_view body, engine_body_options const& options)
{
    auto value = json::parse(json::string_view(body.data(), body.size()));
    assert(value.is_object());
    auto& object = value.get_object();
    object["model"] = json::string_view(options.qualified_adapter.data(),
                                        options.qualified_adapter.size());
    if (options.priority != 0)
        object["priority"] = options.priority;
    if (!options.delivered_text.empty())
        append_delivered(object, options);
    return json::serialize(value);
}

} // namespace marjorampath::serving
