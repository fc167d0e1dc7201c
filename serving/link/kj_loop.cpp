#include <serving/link/kj_loop.hpp>

#include <boost/asio/post.hpp>

#include <kj/debug.h>

#include <memory>

namespace marjorampath::serving
{

namespace
{

/// Largest number of events processed in one handler, so that other work of the thread
/// can run in between.
constexpr kj::uint max_events_per_turn = 256;

} // namespace

kj_loop::kj_loop(boost::asio::io_context& context)
    : context_(context), loop_(*this), scope_(loop_)
{
}

kj_loop::~kj_loop() noexcept(false)
{
    *self_ = nullptr;
}

void kj_loop::drain()
{
    while (loop_.isRunnable())
        loop_.run(max_events_per_turn);
}

bool kj_loop::wait()
{
    KJ_FAIL_REQUIRE("the control thread must not block on a promise");
}

bool kj_loop::poll()
{
    return false;
}

void kj_loop::setRunnable(bool runnable)
{
    if (!runnable || posted_)
        return;
    posted_ = true;
    boost::asio::post(context_,
                      [self = self_]
                      {
                          if (*self != nullptr)
                              (*self)->turn();
                      });
}

void kj_loop::turn()
{
    posted_ = false;
    loop_.run(max_events_per_turn);

    // setRunnable is called only on changes, so the remaining events need another turn
    if (loop_.isRunnable())
        setRunnable(true);
}

} // namespace marjorampath::serving
