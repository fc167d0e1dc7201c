#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marjorampath
{

/// Extracts complete server-sent events from a stream that several endpoints may produce
/// one after another.
///
/// Each complete event is output once: an incomplete event is dropped when another
/// endpoint continues the stream, and repeated events are recognised by their numeric
/// identifier; events without one are always output. Only "\n\n" ends an event.
class event_splitter
{
public:
    /// Settings.
    struct options
    {
        /// Largest event, in bytes. A model's longest events have a few kilobytes.
        std::size_t max_event_bytes = 262'144;
        /// Identifier of the last event that the caller has already; zero for none.
        std::uint64_t last_id = 0;
    };

    /// Constructs a splitter for a new stream.
    explicit event_splitter(options values)
        : options_(values), last_id_(values.last_id), must_be_numbered_(last_id_ != 0)
    {
    }

    /// Adds received bytes and appends completed events to `output`. Returns false if an
    /// incomplete event exceeds `max_event_bytes`, or if a continued stream begins with
    /// an event that has no identifier: what was appended before is valid.
    bool push(std::string_view bytes, std::string& output);

    /// Drops an incomplete event, because another endpoint continues the stream.
    void restart()
    {
        partial_.clear();
        must_be_numbered_ = last_id_ != 0;
    }

    /// Size of an incomplete event that is buffered, in bytes.
    [[nodiscard]] std::size_t buffered_bytes() const noexcept
    {
        return partial_.size();
    }

    /// Whether an incomplete event is buffered.
    [[nodiscard]] bool in_event() const noexcept
    {
        return !partial_.empty();
    }

    /// Identifier of the last complete event; empty if no event had one yet.
    [[nodiscard]] std::optional<std::uint64_t> last_id() const noexcept
    {
        return last_id_ == 0 ? std::nullopt : std::optional(last_id_);
    }

    /// Number of events that were output.
    [[nodiscard]] std::uint64_t event_count() const noexcept
    {
        return event_count_;
    }

private:
    // Outputs a complete event, unless its identifier shows that it was output before;
    // false if it lacks an identifier that it must have
    bool emit(std::string_view event, std::string& output);

    options options_;
    // Bytes of the incomplete event
    std::string partial_;
    // Identifier of the last complete event; zero for none
    std::uint64_t last_id_;
    // Whether the next event that is no comment must have an identifier
    bool must_be_numbered_;
    // Number of events output
    std::uint64_t event_count_ = 0;
};

} // namespace marjorampath
