#include <tests/process/child_process.hpp>
#include <tests/process/entry_process.hpp>
#include <tests/process/order_proxy.hpp>
#include <tests/process/test_client.hpp>

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <platform/standin/operator_documents.hpp>
#include <string>
#include <string_view>

using namespace marjorampath;
using namespace marjorampath::test;
using namespace std::chrono_literals;

namespace
{

constexpr unsigned ok = 200;

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
