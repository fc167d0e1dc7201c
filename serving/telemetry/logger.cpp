#include <serving/clock/boot_time.hpp>
#include <serving/telemetry/logger.hpp>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <cassert>
#include <chrono>
#include <ctime>
#include <utility>

namespace marjorampath::serving
{

namespace
{

constexpr std::int64_t milliseconds_per_second = 1000;
constexpr auto report_period = std::chrono::milliseconds(500);

std::size_t position_of(event id)
{
    return static_cast<std::size_t>(&find_event_entry(id) - all_events().data());
}

std::string format_line(std::int64_t now_ms, event id, std::string_view fields)
{
    auto const& row = find_event_entry(id);
    std::time_t const seconds = now_ms / milliseconds_per_second;
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} E{} {}{}\n", fmt::gmtime(seconds),
                       now_ms % milliseconds_per_second, to_string(row.level),
                       static_cast<unsigned>(id), row.name, fields);
}

} // namespace

logger::logger(options const& chosen) : options_(chosen)
{
    assert(all_events().size() <= repeats_.size());
    thread_ = std::thread([this] { run(); });
}

logger::~logger()
{
    {
        std::lock_guard const lock(mutex_);
        stopping_ = true;
    }
    pending_.notify_one();
    thread_.join();
}

void logger::write(event id, std::string_view fields)
{
    if (!wants(id))
        return;
    auto const now_ms = wall_now().count();
    {
        std::lock_guard const lock(mutex_);
        auto& repeat = repeats_[position_of(id)];

        // A new second begins: report what was left out, then count from zero
        auto const second = now_ms / milliseconds_per_second;
        if (repeat.second != second)
        {
            report_suppressed_locked(now_ms);
            repeat.second = second;
            repeat.written = 0;
        }
        if (repeat.written >= options_.lines_per_second)
        {
            ++repeat.suppressed;
            return;
        }
        ++repeat.written;
        push_locked(now_ms, id, fields);
        if (options_.batch_interval.count() > 0 &&
            queue_.size() < options_.queue_limit / 2)
            return;
    }
    pending_.notify_one();
}

void logger::flush()
{
    std::unique_lock lock(mutex_);
    written_.wait(lock, [this] { return queue_.empty() && !writing_; });
}

void logger::push_locked(std::int64_t now_ms, event id, std::string_view fields)
{
    if (queue_.size() >= options_.queue_limit)
    {
        ++lost_;
        return;
    }
    queue_.push_back(format_line(now_ms, id, fields));
}

void logger::report_suppressed_locked(std::int64_t now_ms)
{
    auto const second = now_ms / milliseconds_per_second;
    auto const rows = all_events();
    for (std::size_t index = 0; index < rows.size(); ++index)
    {
        auto& repeat = repeats_[index];
        if (repeat.suppressed == 0 || (repeat.second == second && !stopping_))
            continue;
        push_locked(now_ms, rows[index].id,
                    fmt::format(" suppressed={}", repeat.suppressed));
        repeat.suppressed = 0;
    }
    if (lost_ == 0 || queue_.size() >= options_.queue_limit)
        return;
    auto const lost = std::exchange(lost_, 0);
    push_locked(now_ms, event::log_lines_lost, fmt::format(" lines={}", lost));
}

void logger::wait_for_lines(std::unique_lock<std::mutex>& lock)
{
    if (options_.batch_interval.count() > 0)
    {
        pending_.wait_for(
            lock, options_.batch_interval,
            [this] { return stopping_ || queue_.size() >= options_.queue_limit / 2; });
        return;
    }
    pending_.wait_for(lock, report_period,
                      [this] { return stopping_ || !queue_.empty(); });
}

void logger::run()
{
    std::unique_lock lock(mutex_);
    while (true)
    {
        wait_for_lines(lock);
        report_suppressed_locked(wall_now().count());
        if (queue_.empty() && stopping_)
            return;
        if (queue_.empty())
            continue;

        // Write without the lock, so that callers never wait for the output
        std::deque<std::string> lines;
        lines.swap(queue_);
        writing_ = true;
        lock.unlock();
        for (auto const& line : lines)
            std::fwrite(line.data(), 1, line.size(), options_.output);
        std::fflush(options_.output);
        lock.lock();
        writing_ = false;
        written_.notify_all();
    }
}

namespace
{

// Chosen before the first use
logger::options process_options;

} // namespace

void configure_process_logger(logger::options const& chosen)
{
    process_options = chosen;
}

logger& process_logger()
{
    static logger instance{process_options};
    return instance;
}

} // namespace marjorampath::serving
