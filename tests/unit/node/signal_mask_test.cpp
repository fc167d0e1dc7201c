#include <serving/node/signal_mask.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/test/unit_test.hpp>

#include <csignal>

using namespace marjorampath::serving;

BOOST_AUTO_TEST_SUITE(signal_mask)

BOOST_AUTO_TEST_CASE(a_signal_during_startup_stays_pending_until_its_handler_exists)
{
    block_signals();
    std::raise(SIGHUP);

    // The process is not terminated, and a handler installed later gets the signal
    boost::asio::io_context loop;
    boost::asio::signal_set signals(loop, SIGHUP);
    int received = 0;
    signals.async_wait([&](boost::system::error_code, int number) { received = number; });
    unblock_signals();
    loop.run();
    BOOST_TEST(received == SIGHUP);
}

BOOST_AUTO_TEST_SUITE_END()
