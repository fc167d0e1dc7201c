#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace marjorampath::serving
{

/// What the pieces of an event stream amount to so far.
enum class event_stream_state
{
    /// More events are to come.
    open,
    /// The final event `data: [DONE]` was taken in.
    done,
    /// An event is missing, or the engine reported an error; nothing behind it is used.
    broken
};

/// Which parts of an event stream are kept.
struct event_stream_options
{
    /// Whether the generated text is kept, so that a cut stream can be restarted.
    bool keep_text = false;
    /// Largest number of bytes of generated text that are kept.
    std::size_t max_text_bytes = 262'144;
    /// Largest size of one event.
    std::size_t max_event_bytes = 262'144;
};

/// Follows a stream of server-sent events from an engine, across several attempts.
///
/// It passes on whole events only, in order, each once: events that come again after a
/// resumption are dropped by their number, and a gap in the numbers breaks the stream.
class event_stream
{
public:
    /// Starts a stream of which nothing was delivered.
    explicit event_stream(event_stream_options options = {}) : options_(options) {}

    /// Takes bytes from the engine in and appends the events to pass on to `output`.
    event_stream_state push(std::string_view bytes, std::string& output);

    /// The next bytes come from a resumption at the same engine.
    void resume();

    /// The next bytes come from a new run that continues the delivered text; its events
    /// are renumbered to follow the delivered ones.
    void restart();

    /// The state after the last push.
    [[nodiscard]] event_stream_state state() const noexcept
    {
        return state_;
    }

    /// Number of the last event at the engine that runs it now; zero for none.
    [[nodiscard]] std::uint64_t last_event_id() const noexcept
    {
        return last_id_;
    }

    /// Number of events passed on, the final one excluded.
    [[nodiscard]] std::uint64_t delivered() const noexcept
    {
        return delivered_;
    }

    /// Whether the delivered text is known whole and generation had not ended.
    [[nodiscard]] bool can_restart() const noexcept
    {
        return options_.keep_text && text_whole_ && !generation_ended_;
    }

    /// The text that was delivered before the last restart, as the inside of a JSON
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
    // Fields of one event that matter here
    struct event_fields;

    static event_fields read_fields(std::string_view event);

    // Takes one whole event in; returns whether it is passed on
    bool accept(std::string_view event, std::string& output);

    // Appends an event with another number
    void append_renumbered(std::string_view event, std::uint64_t id, std::string& output);

    // Keeps the generated text of a data line
    void keep_text(std::string_view data);

    // Options
    event_stream_options options_;
    // Beginning of an event whose end has not come yet
    std::string partial_;
    // Generated text, escaped as in the events
    std::string text_;
    // Number of the last event at the current engine
    std::uint64_t last_id_ = 0;
    // What is added to the numbers of the current engine
    std::uint64_t id_offset_ = 0;
    // Events passed on
    std::uint64_t delivered_ = 0;
    // Events passed on before the last restart
    std::uint64_t events_before_restart_ = 0;
    // Size of the text that was delivered before the last restart
    std::size_t text_bytes_before_restart_ = 0;
    // State
    event_stream_state state_ = event_stream_state::open;
    // Whether all delivered text was kept
    bool text_whole_ = true;
    // Whether an event told why generation ended
    bool generation_ended_ = false;
};

} // namespace marjorampath::serving
