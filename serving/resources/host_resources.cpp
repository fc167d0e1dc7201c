#include <serving/clock/boot_time.hpp>
#include <serving/resources/host_resources.hpp>
#include <serving/telemetry/log.hpp>

#include <algorithm>
#include <chrono>
#include <malloc.h>
#include <utility>

namespace marjorampath::serving
{

namespace
{

// Interval of decisions on reservations that wait
constexpr auto settle_interval = std::chrono::milliseconds(50);
// Least amount of reserved memory after which freed memory is given back, and the part of
// it that may still be reserved then
constexpr std::size_t min_returned_bytes = 4'000'000;
constexpr std::size_t returned_divisor = 4;

} // namespace

host_resources::host_resources(boost::asio::io_context& loop,
                               resource_budget_options const& options)
    : budget_(options), timer_(loop)
{
}

resource_budget::opening host_resources::open(connection_class of, listener on_event)
{
    auto opened = budget_.open(of, boot_now());
    if (opened.evicted)
        notify(*opened.evicted);
    if (opened.decision != admission::admitted)
    {
        ++counters_.refused_connections;
        log_event(event::connection_refused, "class", to_string(of), "open",
                  budget_.connections(of), "answered",
                  opened.decision == admission::refuse_only);
    }
    if (opened.decision != admission::rejected)
        listeners_.emplace(opened.connection, std::move(on_event));
    return opened;
}

void host_resources::close(connection_number connection)
{
    budget_.close(connection);
    listeners_.erase(connection);
    settle_soon();
}

reservation host_resources::reserve(connection_number connection, std::size_t bytes)
{
    auto const result = budget_.reserve(connection, bytes, boot_now());
    if (result == reservation::waiting)
        settle_soon();
    return result;
}

void host_resources::settle_soon()
{
    if (!budget_.has_waiting())
        return;
    timer_.expires_after(std::chrono::milliseconds(0));
    timer_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
                settle();
        });
}

void host_resources::return_freed_memory()
{
    auto const reserved = budget_.reserved_bytes();
    peak_bytes_ = std::max(peak_bytes_, reserved);
    if (peak_bytes_ < min_returned_bytes || reserved > peak_bytes_ / returned_divisor)
        return;
    peak_bytes_ = reserved;
    ::malloc_trim(0);
}

void host_resources::settle()
{
    for (auto const& notice : budget_.settle(boot_now()))
        notify(notice);
    if (!budget_.has_waiting())
        return;
    timer_.expires_after(settle_interval);
    timer_.async_wait(
        [this](boost::system::error_code error)
        {
            if (!error)
                settle();
        });
}

void host_resources::notify(budget_notice const& notice)
{
    if (notice.event == budget_event::refused)
    {
        ++counters_.refused_messages;
        log_event(event::message_refused, "reserved_bytes", budget_.reserved_bytes(),
                  "limit_bytes", budget_.limits().message_bytes);
    }
    if (notice.event == budget_event::evicted_idle ||
        notice.event == budget_event::evicted_stalled)
    {
        ++(notice.event == budget_event::evicted_idle ? counters_.evicted_idle
                                                      : counters_.evicted_stalled);
        log_event(event::connection_evicted, "reason", to_string(notice.event),
                  "reserved_bytes", budget_.reserved_bytes());
    }
    auto const found = listeners_.find(notice.connection);
    if (found != listeners_.end())
        found->second(notice.event);
}

} // namespace marjorampath::serving
