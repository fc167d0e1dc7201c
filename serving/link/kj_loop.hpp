#pragma once

#include <boost/asio/io_context.hpp>

#include <kj/async.h>

namespace marjorampath::serving
{

/// Runs the event loop of the RPC library on the thread of an io_context: whenever the
/// loop has events, posts a handler that processes them. No code may block on a promise.
///
/// Must be constructed and destroyed on the thread that runs the io_context; each thread
/// has at most one.
class kj_loop : private kj::EventPort
{
public:
    /// Makes the loop current for this thread.
    explicit kj_loop(boost::asio::io_context& context);
    ~kj_loop() noexcept(false);
    kj_loop(kj_loop const&) = delete;
    kj_loop& operator=(kj_loop const&) = delete;

    /// Runs the loop until it is idle. Only for the end of a program or a test, to let
    /// cancelled promises finish.
    void drain();

private:
    // Fails: a blocking wait is a defect, since it stops all other work of the thread
    bool wait() override;
    // Always false: external events arrive through the io_context
    bool poll() override;
    // Called by the loop when it gets its first event, or has none left
    void setRunnable(bool runnable) override;

    // Processes a bounded number of events and posts itself again if more are left
    void turn();

    // Runs the posted handlers
    boost::asio::io_context& context_;
    // Shared with posted handlers; holds null once this object is destroyed
    std::shared_ptr<kj_loop*> self_ = std::make_shared<kj_loop*>(this);
    // Whether a handler is pending
    bool posted_ = false;
    // Event loop of the RPC library
    kj::EventLoop loop_;
    // Makes the loop current for this thread; destroyed before the loop
    kj::WaitScope scope_;
};

} // namespace marjorampath::serving
