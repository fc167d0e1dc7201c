#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marjorampath
{

/// Cuts a stream of server-sent events into whole events, over several endpoints.
///
/// Only whole events come out, each once: the rest of an event that was cut is dropped
/// when the stream goes on elsewhere, and events that come again are left out by their
/// identifier.
class event_splitter
{
public:
    /// How to construct a splitter.
    struct options
    {
        /// Largest event, in bytes. The longest one of a model is a few kilobytes.
        std::size_t max_event_bytes = 262'144;
        /// Identifier of the last event that the caller has.
        std::uint64_t last_id = 0;
    };

    /// Starts a stream.
    explicit event_splitter(options values) : options_(values), last_id_(values.last_id)
    {
    }

    /// Takes bytes and appends the whole events to `output`. Returns false where an event
    /// is too large.
    bool push(std::string_view bytes, std::string& output);

    /// The stream goes on at another endpoint, behind the last whole event.
    void restart()
    {
        partial_.clear();
    }

    /// Whether an event has begun that is not whole yet.
    [[nodiscard]] bool in_event() const noexcept
    {
        return !partial_.empty();
    }

    /// Identifier of the last whole event; nothing before the first one with one.
    [[nodiscard]] std::optional<std::uint64_t> last_id() const noexcept
    {
        return last_id_ == 0 ? std::nullopt : std::optional(last_id_);
    }

    /// Number of whole events that were passed on.
    [[nodiscard]] std::uint64_t passed() const noexcept
    {
        return passed_;
    }

private:
    // Passes a whole event on, but for one that was passed on before
    void take(std::string_view event, std::string& output);

    // Settings
    options options_;
    // Beginning of an event
    std::string partial_;
    // Identifier of the last whole event, zero for none
    std::uint64_t last_id_;
    // Whole events passed on
    std::uint64_t passed_ = 0;
};

} // namespace marjorampath
