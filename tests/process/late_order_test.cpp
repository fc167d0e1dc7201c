#include <tests/process/child_process.hpp>
#include <tests/process/entry_process.hpp>
#include <tests/process/test_client.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <array>
#include <atomic>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <platform/standin/operator_documents.hpp>
#include <string>
#include <string_view>
#include <thread>

using namespace marjorampath;
using namespace marjorampath::test;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

constexpr unsigned ok = 200;

// A proxy before an engine that holds one order up, whatever becomes of the connection
// on which it came, and delivers it when it is told to
class order_proxy
{
public:
    explicit order_proxy(asio::ip::tcp::endpoint target)
        : target_(std::move(target)), thread_([this] { loop_.run(); })
    {
        asio::co_spawn(loop_, accept(), asio::detached);
    }

    ~order_proxy()
    {
        loop_.stop();
        thread_.join();
    }

    order_proxy(order_proxy const&) = delete;
    order_proxy& operator=(order_proxy const&) = delete;

    [[nodiscard]] std::string address() const
    {
        return fmt::format("127.0.0.1:{}", acceptor_.local_endpoint().port());
    }

    // Whether the next load order is held up
    std::atomic<bool> armed = false;
    // Whether an order is held up, and whether it may be delivered
    std::atomic<bool> holds = false;
    std::atomic<bool> released = false;

private:
    using socket = std::shared_ptr<asio::ip::tcp::socket>;

    asio::awaitable<void> accept()
    {
        while (true)
        {
            auto const caller = std::make_shared<asio::ip::tcp::socket>(
                co_await acceptor_.async_accept(asio::use_awaitable));
            auto const engine = std::make_shared<asio::ip::tcp::socket>(loop_);
            boost::system::error_code error;
            co_await engine->async_connect(
                target_, asio::redirect_error(asio::use_awaitable, error));
            asio::co_spawn(loop_, forward(caller, engine), asio::detached);
            asio::co_spawn(loop_, forward(engine, caller), asio::detached);
        }
    }

    asio::awaitable<void> forward(socket from, socket to)
    {
        std::array<char, 16'384> buffer;
        boost::system::error_code error;
        while (!error)
        {
            auto const size = co_await from->async_read_some(
                asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
            std::string_view const bytes(buffer.data(), size);
            if (bytes.find(R"("operation":"load")") != std::string_view::npos &&
                armed.exchange(false))
                co_await hold();
            boost::system::error_code ignored;
            co_await asio::async_write(
                *to, asio::buffer(buffer.data(), size),
                asio::redirect_error(asio::use_awaitable, ignored));
        }
        to->shutdown(asio::ip::tcp::socket::shutdown_send, error);
    }

    asio::awaitable<void> hold()
    {
        holds = true;
        asio::steady_timer timer(loop_);
        while (!released)
        {
            timer.expires_after(5ms);
            co_await timer.async_wait(asio::use_awaitable);
        }
        holds = false;
    }

    asio::io_context loop_{1};
    asio::executor_work_guard<asio::io_context::executor_type> work_{
        loop_.get_executor()};
    asio::ip::tcp::acceptor acceptor_{loop_, {asio::ip::address_v4::loopback(), 0}};
    asio::ip::tcp::endpoint target_;
    std::thread thread_;
};

// A node that holds the lease of one engine behind such a proxy
struct late_order_fixture
{
    late_order_fixture()
    {
        call(engine.address(), "POST", "/standin/set",
             fmt::format(R"({{"address":"{}"}})", proxy.address()));
    }

    ~late_order_fixture()
    {
        std::error_code ignored;
        std::filesystem::remove(records, ignored);
    }

    // Whether a stream at an adapter is served
    bool serves(std::string const& adapter)
    {
        auto const answer =
            call(entry.node().address(), "POST", deployment.streams + "x", "{}",
                 {{"Host", deployment.host},
                  {"X-Attempt-Id", fmt::format("attempt-{}", ++attempts)},
                  {"X-Model", model + "/" + adapter},
                  {"X-Token-Count", "100,2"},
                  {"X-Prompt-Prefix", fmt::format("{:x}:100", attempts)},
                  {"X-Deadline-Ms", "2000"}});
        return answer.status == ok && answer.ended;
    }

    [[nodiscard]] std::size_t count_records(std::string_view text) const
    {
        std::ifstream file(records);
        std::string const all{std::istreambuf_iterator<char>(file), {}};
        std::size_t found = 0;
        for (auto at = all.find(text); at != std::string::npos;
             at = all.find(text, at + 1))
            ++found;
        return found;
    }

    platform::standin_deployment const deployment;
    std::string const model = deployment.model_service;
    entry_process entry{{.node_settings = "witnesses: 1\n"}};
    std::string const records =
        (std::filesystem::temp_directory_path() /
         fmt::format("marjorampath-late-order-{}", entry.node().address().port()))
            .string();
    child_process engine{"marjorampath-standin",
                         {"users-endpoint", "--id", "engine-0", "--service",
                          deployment.model_service, "--zone", "zone-a", "--model", model,
                          "--store", fmt::format("127.0.0.1:{}", entry.store().port()),
                          "--records", records},
                         records + ".log"};
    order_proxy proxy{engine.address()};
    int attempts = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(late_orders, late_order_fixture)

// Guards against an order that was given up, whose connection was reset, and that the
// engine gets all the same once its place is taken (review/1)
BOOST_AUTO_TEST_CASE(an_order_that_was_held_up_does_not_overfill_its_engine)
{
    BOOST_REQUIRE(eventually([this] { return serves("a1"); }, 20s));
    BOOST_REQUIRE(eventually([this] { return serves("a2"); }));
    BOOST_REQUIRE(eventually([this] { return serves("a3"); }));
    proxy.armed = true;
    serves("late");
    BOOST_REQUIRE(proxy.holds);
    BOOST_REQUIRE(eventually([this] { return serves("a4"); }));
    auto const orders = count_records(R"("event":"order")");
    proxy.released = true;
    BOOST_REQUIRE(
        eventually([&] { return count_records(R"("event":"order")") > orders; }));
    BOOST_TEST(eventually([this] { return serves("a4"); }));
    BOOST_TEST(count_records(R"("event":"overfull")") == 0U);
    BOOST_TEST(count_records(R"("refused":true)") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
