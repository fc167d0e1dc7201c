#pragma once

#include <boost/asio/io_context.hpp>

#include <kj/async.h>

namespace marjorampath::serving
{

/// Runs the event loop of the RPC library on an io_context, on one thread: whenever the
/// loop has events, a handler that turns it is posted. No call may block on a promise.
///
/// To be made and destroyed on the thread that runs the io_context; each thread has at
/// most one.
class kj_loop : private kj::EventPort
{
public:
    /// Makes the loop current for this thread.
    explicit kj_loop(boost::asio::io_context& context);
    ~kj_loop() noexcept(false);
    kj_loop(kj_loop const&) = delete;
    kj_loop& operator=(kj_loop const&) = delete;

    /// Turns the loop until it is idle. Only for the end of a program or a test, to let
    /// cancelled promises finish.
    void drain();

private:
    // A blocking wait is a defect: the thread would not carry out other work
    bool wait() override;
    // External events come through the io_context instead
    bool poll() override;
    // The loop has events, or has none left
    void setRunnable(bool runnable) override;

    // Turns the loop once and posts itself again while events are left
    void turn();

    // Carries the handlers
    boost::asio::io_context& context_;
    // Lets posted handlers find out that this object is gone
    std::shared_ptr<kj_loop*> self_ = std::make_shared<kj_loop*>(this);
    // Whether a handler is posted
    bool posted_ = false;
    // The loop of the RPC library
    kj::EventLoop loop_;
    // Makes the loop current; ends before the loop
    kj::WaitScope scope_;
};

} // namespace marjorampath::serving
