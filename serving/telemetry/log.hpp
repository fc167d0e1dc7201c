#pragma once

#include <serving/telemetry/logger.hpp>

#include <fmt/format.h>

#include <concepts>
#include <iterator>
#include <string_view>

namespace marjorampath::serving
{

/// Appends a value to a log line; text with spaces, quotes or control characters is
/// quoted and escaped, so that a line stays a line.
void append_log_text(fmt::memory_buffer& line, std::string_view text);

/// Appends ` key=value`.
template <class Value>
void append_log_field(fmt::memory_buffer& line, std::string_view key, Value const& value)
{
    fmt::format_to(std::back_inserter(line), " {}=", key);
    if constexpr (std::convertible_to<Value const&, std::string_view>)
        append_log_text(line, value);
    else if constexpr (requires { value.number(); })
        fmt::format_to(std::back_inserter(line), "{:016x}", value.number());
    else
        fmt::format_to(std::back_inserter(line), "{}", value);
}

/// Appends no field.
inline void append_log_fields(fmt::memory_buffer&) {}

/// Appends pairs of key and value.
template <class Value, class... Rest>
void append_log_fields(fmt::memory_buffer& line, std::string_view key, Value const& value,
                       Rest const&... rest)
{
    append_log_field(line, key, value);
    append_log_fields(line, rest...);
}

/// Logs an event to a logger with fields given as pairs of key and value.
template <class... Fields>
void log_event_to(logger& target, event id, Fields const&... fields)
{
    static_assert(sizeof...(Fields) % 2 == 0, "fields are pairs of key and value");
    if (!target.wants(id))
        return;
    fmt::memory_buffer line;
    append_log_fields(line, fields...);
    target.write(id, std::string_view(line.data(), line.size()));
}

/// Logs an event of the process: `log_event(event::node_started, "host", name)`. Values
/// are numbers, text, identifiers or anything that fmt formats. Callable from any thread.
template <class... Fields>
void log_event(event id, Fields const&... fields)
{
    log_event_to(process_logger(), id, fields...);
}

} // namespace marjorampath::serving
