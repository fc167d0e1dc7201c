#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace marjorampath::serving
{

/// State of an event stream.
enum class event_stream_state
{
    /// More events are expected.
    open,
    /// The final event `data: [DONE]` was received.
    done,
    /// An event is missing or too large, or the engine reported an error; later events
    /// are ignored until a resumption or restart.
    broken
};

/// Options of an event stream.
struct event_stream_options
{
    /// Whether the generated text is kept, so that an interrupted stream can be
    /// restarted.
    bool keep_text = false;
    /// Maximum size of the kept text; a stream with more cannot be restarted.
    std::size_t max_text_bytes = 262'144;
    /// Maximum size of an event that is still incomplete; a larger one breaks the stream.
    std::size_t max_event_bytes = 262'144;
};

/// Filters a stream of server-sent events from engines, across several attempts.
///
/// It passes on complete events only, in order and once each: events repeated after a
/// resumption are recognised by their number and dropped, and a gap in the numbers breaks
/// the stream.
class event_stream
{
public:
    /// Starts a stream without delivered events.
    explicit event_stream(event_stream_options options = {}) : options_(options) {}

    /// Processes bytes from the engine and appends the events to pass on to `output`.
    event_stream_state push(std::string_view bytes, std::string& output);

    /// Prepares for the events of a resumption at the same engine.
    void resume();

    /// Prepares for the events of a new run that continues the delivered text; they are
    /// renumbered to follow the delivered ones.
    void restart();

    /// The state after the last push.
    [[nodiscard]] event_stream_state state() const noexcept
    {
        return state_;
    }

    /// Number of the last event from the current run, as the engine numbers it; zero for
    /// none.
    [[nodiscard]] std::uint64_t last_event_id() const noexcept
    {
        return last_id_;
    }

    /// Number of events passed on, the final one excluded.
    [[nodiscard]] std::uint64_t delivered() const noexcept
    {
        return delivered_;
    }

    /// Whether all of the delivered text is kept and the engine has not reported the end
    /// of generation.
    [[nodiscard]] bool can_restart() const noexcept
    {
        return options_.keep_text && text_complete_ && !generation_ended_;
    }

    /// Bytes of incomplete events and of delivered text that are kept.
    [[nodiscard]] std::size_t held_bytes() const noexcept
    {
        return partial_.size() + text_.size();
    }

    /// Gives up the delivered text, except what the present run continues; the stream
    /// cannot be restarted any more.
    void drop_text();

    /// The text that was delivered before the last restart, escaped as inside a JSON
    /// string.
    [[nodiscard]] std::string_view text_before_restart() const noexcept
    {
        return std::string_view(text_).substr(0, text_bytes_before_restart_);
    }

    /// Number of events that were delivered before the last restart.
    [[nodiscard]] std::uint64_t events_before_restart() const noexcept
    {
        return events_before_restart_;
    }

private:
    // Fields of an event that the filter uses
    struct event_fields;

    static event_fields read_fields(std::string_view event);

    // Processes one complete event; returns whether it is passed on
    bool process_event(std::string_view event, std::string& output);

    // Appends an event with its number raised by id_offset_
    void append_renumbered(std::string_view event, std::uint64_t id, std::string& output);

    // Adds the generated text of a data line to the kept text
    void keep_text(std::string_view data);

    event_stream_options options_;
    // Beginning of an event that is still incomplete
    std::string partial_;
    // Generated text, escaped as in the events
    std::string text_;
    // Number of the last event of the current run; zero for none
    std::uint64_t last_id_ = 0;
    // Added to event numbers of the current run; zero before the first restart
    std::uint64_t id_offset_ = 0;
    // Events passed on
    std::uint64_t delivered_ = 0;
    // Events passed on before the last restart
    std::uint64_t events_before_restart_ = 0;
    // Size of the text that was delivered before the last restart
    std::size_t text_bytes_before_restart_ = 0;
    event_stream_state state_ = event_stream_state::open;
    // Whether all delivered text was kept
    bool text_complete_ = true;
    // Whether an event contained a finish reason
    bool generation_ended_ = false;
    // Whether the next event with data must have a number, as those before an
    // interruption had
    bool must_be_numbered_ = false;
};

} // namespace marjorampath::serving
