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

/// Ends an exchange from outside: at its deadline or when the caller goes away. What the
/// exchange waits for then fails, and it reads the reason here.
class exchange_control : public std::enable_shared_from_this<exchange_control>
{
public:
    /// Makes the control of one exchange. `cancel_caller_write` ends a write to the
    /// caller that is under way.
    exchange_control(boost::asio::any_io_executor const& executor,
                     std::function<void()> cancel_caller_write);

    /// Ends the exchange when the time is over.
    void start_deadline(duration time_left);

    /// Ends the exchange with a reason; later reasons are ignored.
    void abort(error_kind reason);

    /// The exchange is over; nothing is ended from now on.
    void finish();

    /// The exchange waits for something that `cancel` ends; nothing where it is empty.
    void set_cancel_wait(std::function<void()> cancel) noexcept
    {
        waiting_ = std::move(cancel);
    }

    /// The exchange uses this connection, or none.
    void set_connection(endpoint_connection connection) noexcept
    {
        connection_ = std::move(connection);
    }

    /// Why the exchange was ended, or `none`.
    [[nodiscard]] error_kind reason() const noexcept
    {
        return reason_;
    }

private:
    // Ends a write to the caller
    std::function<void()> cancel_caller_write_;
    // Fires at the deadline
    boost::asio::steady_timer timer_;
    // Ends what is waited for
    std::function<void()> waiting_;
    // Connection in use
    endpoint_connection connection_;
    // Why the exchange was ended
    error_kind reason_ = error_kind::none;
};

} // namespace marjorampath::serving
