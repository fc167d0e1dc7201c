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

/// Writes events as lines from a thread of its own, so that a slow reader of the output
/// never blocks the caller. The queue is bounded; lines that do not fit are counted.
class logger
{
public:
    /// How a logger behaves.
    struct options
    {
        /// Where the lines go; not closed by the logger.
        std::FILE* output = stderr;
        /// Largest number of lines that wait to be written.
        std::size_t queue_limit = 4096;
        /// Largest number of lines of one event in one second; further ones are counted
        /// and reported in one line at the end of the second.
        std::uint32_t lines_per_second = 20;
        /// Time for which lines are gathered before they are written together; zero
        /// writes each one at once.
        std::chrono::milliseconds batch_interval{0};
        /// Events less serious than this are not written.
        severity least = severity::info;
    };

    /// Starts the writing thread.
    explicit logger(options const& chosen);
    /// Writes what waits and ends the thread.
    ~logger();
    logger(logger const&) = delete;
    logger& operator=(logger const&) = delete;

    /// Whether the event would be written or counted at all.
    [[nodiscard]] bool wants(event id) const noexcept
    {
        return find_event_entry(id).level >= options_.least;
    }

    /// Queues a line; `fields` is ` key=value …` as `log_event` formats it. Callable from
    /// any thread.
    void write(event id, std::string_view fields);

    /// Waits until all lines queued so far are written.
    void flush();

private:
    /// Repeats of one event.
    struct repeat_count
    {
        // Second that the counts belong to
        std::int64_t second = 0;
        // Lines written in that second
        std::uint32_t written = 0;
        // Lines left out since the last report
        std::uint64_t suppressed = 0;
    };

    // Appends a line to the queue, or counts it as lost; the mutex is held
    void push_locked(std::int64_t now_ms, event id, std::string_view fields);
    // Reports events left out in seconds before this one; the mutex is held
    void report_suppressed_locked(std::int64_t now_ms);
    // Waits until there is something to write or to report
    void wait_for_lines(std::unique_lock<std::mutex>& lock);
    // Body of the writing thread
    void run();

    // Chosen at construction
    options options_;
    // Guards all members below
    std::mutex mutex_;
    // Wakes the writing thread
    std::condition_variable pending_;
    // Wakes those who wait in flush()
    std::condition_variable written_;
    // Lines that wait to be written
    std::deque<std::string> queue_;
    // Whether the writing thread holds lines that are not written yet
    bool writing_ = false;
    // Whether the writing thread is to end
    bool stopping_ = false;
    // Lines dropped because the queue was full
    std::uint64_t lost_ = 0;
    // Repeats by position in the catalogue
    std::array<repeat_count, 128> repeats_{};
    // Writes the lines; last, so that all else exists when it starts
    std::thread thread_;
};

/// Chooses how the logger of the process behaves; to be called before its first use.
void configure_process_logger(logger::options const& chosen);

/// The logger of the process, which writes to standard error where nothing else was
/// chosen.
logger& process_logger();

} // namespace marjorampath::serving
