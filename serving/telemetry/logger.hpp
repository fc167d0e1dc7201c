#pragma once

#include <serving/telemetry/event_catalogue.hpp>

#include <array>
#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

namespace marjorampath::serving
{

/// Writes events as lines from a background thread, so that a slow reader of the output
/// never blocks the caller. The queue is bounded; lines that do not fit are dropped and
/// counted.
class logger
{
public:
    /// Settings of a logger.
    struct options
    {
        /// Output stream; not owned and not closed by the logger.
        std::FILE* output = stderr;
        /// Maximum number of queued lines; further lines are dropped.
        std::size_t queue_limit = 4096;
        /// Maximum number of lines of one event per second. Further lines are suppressed,
        /// and their count is logged as one line once that second is over.
        std::uint32_t lines_per_second = 20;
        /// Time between two batched writes; zero writes each line at once. A queue that
        /// is half full is written earlier.
        std::chrono::milliseconds batch_interval{0};
        /// Events below this severity are not written.
        severity min_severity = severity::info;
    };

    /// Starts the writing thread.
    explicit logger(options const& values);
    /// Writes the queued lines and joins the thread.
    ~logger();
    logger(logger const&) = delete;
    logger& operator=(logger const&) = delete;

    /// Whether the severity of the event is high enough for it to be logged.
    [[nodiscard]] bool is_enabled(event id) const noexcept
    {
        return find_event_entry(id).level >= options_.min_severity;
    }

    /// Queues a line; `fields` is ` key=value …` as `log_event` formats it. Thread-safe.
    void write(event id, std::string_view fields);

    /// Blocks until all lines queued so far are written.
    void flush();

private:
    /// Rate limit state of one event.
    struct rate_window
    {
        // Second of wall-clock time that `written` belongs to
        std::int64_t second = 0;
        // Lines written in that second
        std::uint32_t written = 0;
        // Lines suppressed since the last report
        std::uint64_t suppressed = 0;
    };

    // Appends a line to the queue, or counts it as dropped; requires mutex_
    void push_locked(std::int64_t now_ms, event id, std::string_view fields);
    // Queues a line for each event with lines suppressed before the current second, and
    // one for dropped lines; requires mutex_
    void report_suppressed_locked(std::int64_t now_ms);
    // Waits until lines are due to be written, or for the reporting period
    void wait_for_lines(std::unique_lock<std::mutex>& lock);
    // Main function of the writing thread
    void run();

    // Set at construction
    options options_;
    // Guards all members below
    std::mutex mutex_;
    // Signals the writing thread that lines are queued or that it must stop
    std::condition_variable lines_queued_;
    // Signals flush() that a batch was written
    std::condition_variable batch_written_;
    // Lines not yet handed to the writing thread
    std::deque<std::string> queue_;
    // Whether the writing thread is writing a batch
    bool writing_ = false;
    // Set by the destructor; the writing thread drains the queue and ends
    bool stopping_ = false;
    // Lines dropped because the queue was full, not yet reported
    std::uint64_t dropped_lines_ = 0;
    // Rate limit states by index in the event catalogue
    std::array<rate_window, 128> rate_windows_{};
    // Declared last, so that all other members are initialised when the thread starts
    std::thread thread_;
};

/// Sets the options of the process-wide logger. Has an effect only before the first call
/// of process_logger(). Not thread-safe.
void configure_process_logger(logger::options const& values);

/// The process-wide logger; created on first use, by default for standard error.
logger& process_logger();

} // namespace marjorampath::serving
