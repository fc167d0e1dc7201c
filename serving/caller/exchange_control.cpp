#include <serving/caller/exchange_control.hpp>

#include <utility>

namespace marjorampath::serving
{

exchange_control::exchange_control(boost::asio::any_io_executor const& executor,
                                   std::function<void()> cancel_caller_write)
    : cancel_caller_write_(std::move(cancel_caller_write)), timer_(executor)
{
}

void exchange_control::start_deadline(duration time_left)
{
    timer_.expires_after(time_left);
    timer_.async_wait(
        [weak = weak_from_this()](boost::system::error_code error)
        {
            auto const self = weak.lock();
            if (!error && self)
                self->abort(error_kind::deadline_exceeded);
        });
}

void exchange_control::abort(error_kind reason)
{
    if (reason_ != error_kind::none)
        return;
    reason_ = reason;

    // Closing the connection also tells the endpoint to cancel the run
    boost::system::error_code ignored;
    if (connection_)
        connection_->close(ignored);
    if (waiting_)
        std::exchange(waiting_, nullptr)();
    if (cancel_caller_write_)
        cancel_caller_write_();
}

void exchange_control::finish()
{
    timer_.cancel();
    cancel_caller_write_ = nullptr;
    waiting_ = nullptr;
    connection_ = nullptr;
}

} // namespace marjorampath::serving
