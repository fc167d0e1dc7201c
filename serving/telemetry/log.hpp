#pragma once

#include <serving/telemetry/logger.hpp>

#include <fmt/format.h>

#include <concepts>
#include <iterator>
#include <string_view>

namespace marjorampath::serving
{

/// Appends a text value to a log line. Empty text and text with spaces, quotes,
/// backslashes, `=` or control characters is quoted and escaped, so that it cannot break
/// the line or its fields.
void append_log_text(fmt::memory_buffer& line, std::string_view text);

/// Appends ` key=value`. Identifiers are written as 16 hexadecimal digits.
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

/// Ends the recursion over the fields.
inline void append_log_fields(fmt::memory_buffer&) {}

/// Appends key-value pairs.
template <class Value, class... Rest>
void append_log_fields(fmt::memory_buffer& line, std::string_view key, Value const& value,
                       Rest const&... rest)
{
    append_log_field(line, key, value);
    append_log_fields(line, rest...);
}

/// Logs an event to the given logger, with fields as alternating keys and values.
template <class... Fields>
void log_event_to(logger& target, event id, Fields const&... fields)
{
    static_assert(sizeof...(Fields) % 2 == 0, "fields must be pairs of key and value");
    if (!target.is_enabled(id))
        return;
    fmt::memory_buffer line;
    append_log_fields(line, fields...);
    target.write(id, std::string_view(line.data(), line.size()));
}

/// Logs an event to the logger of the process: `log_event(event::node_started, "host",
/// name)`. Values are text, identifiers or anything that fmt formats. Thread-safe.
template <class... Fields>
void log_event(event id, Fields const&... fields)
{
    log_event_to(process_logger(), id, fields...);
}

} // namespace marjorampath::serving
