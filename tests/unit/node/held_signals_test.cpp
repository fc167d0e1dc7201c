#include <serving/node/held_signals.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/test/unit_test.hpp>

#include <csignal>

using namespace marjorampath::serving;

BOOST_AUTO_TEST_SUITE(held_signals)

BOOST_AUTO_TEST_CASE(a_signal_during_the_start_waits_for_its_handler)
{
    block_signals();
    std::raise(SIGHUP);

    // The process lives on, and the handler that comes later gets the signal
    boost::asio::io_context loop;
    boost::asio::signal_set signals(loop, SIGHUP);
    int got = 0;
    signals.async_wait([&](boost::system::error_code, int number) { got = number; });
    unblock_signals();
    loop.run();
    BOOST_TEST(got == SIGHUP);
}

BOOST_AUTO_TEST_SUITE_END()
