#pragma once

#include <marjorampath/core/error_kind.hpp>
#include <marjorampath/core/time.hpp>
#include <serving/endpoint/connection_pool.hpp>

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <utility>

namespace marjorampath::serving
{

/// Aborts an exchange at its deadline or when the caller disconnects. The operation that
/// the exchange waits for then fails, and the exchange finds the cause in `reason`.
class exchange_control : public std::enable_shared_from_this<exchange_control>
{
public:
    /// Creates the control of one exchange. `cancel_caller_write` cancels a write to the
    /// caller that is in progress.
    exchange_control(boost::asio::any_io_executor const& executor,
                     std::function<void()> cancel_caller_write);

    /// Aborts the exchange after `time_left` as `deadline_exceeded`.
    void start_deadline(duration time_left);

    /// Aborts the exchange. Only the first call has an effect.
    void abort(error_kind reason);

    /// Ends the control when the exchange is over: stops the deadline timer and releases
    /// the connection and the callbacks.
    void finish();

    /// Sets the function with which `abort` cancels the operation that the exchange waits
    /// for; empty if there is none.
    void set_cancel_wait(std::function<void()> cancel) noexcept
    {
        cancel_wait_ = std::move(cancel);
    }

    /// Sets the connection to the endpoint that `abort` closes; null if there is none.
    void set_connection(endpoint_connection connection) noexcept
    {
        connection_ = std::move(connection);
    }

    /// Why the exchange was aborted, or `none`.
    [[nodiscard]] error_kind reason() const noexcept
    {
        return reason_;
    }

private:
    // Cancels a write to the caller
    std::function<void()> cancel_caller_write_;
    // Expires at the deadline
    boost::asio::steady_timer timer_;
    // Cancels the operation that the exchange waits for
    std::function<void()> cancel_wait_;
    // Connection to the endpoint in use, or null
    endpoint_connection connection_;
    // Why the exchange was aborted
    error_kind reason_ = error_kind::none;
};

} // namespace marjorampath::serving
