#include <tests/process/child_process.hpp>
#include <tests/process/entry_process.hpp>
#include <tests/process/test_client.hpp>

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <memory>
#include <platform/standin/operator_documents.hpp>
#include <platform/store_codec.hpp>
#include <string>
#include <vector>

using namespace marjorampath;
using namespace marjorampath::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t read_events = 4;

// A node before engines of two software versions, which have served side by side for
// longer than any stream lasts
struct versions_fixture
{
    versions_fixture()
    {
        old_engine = start_engine("engine-old", "v1");
        BOOST_REQUIRE(eventually([this] { return begin_stream("warm-up"); }, 20s));
    }

    ~versions_fixture()
    {
        std::error_code ignored;
        for (auto const* name : {"engine-old", "engine-new"})
            std::filesystem::remove(record_file(name), ignored);
    }

    std::string record_file(std::string const& name)
    {
        return (std::filesystem::temp_directory_path() /
                fmt::format("marjorampath-{}-{}", name, entry.node().address().port()))
            .string();
    }

    std::unique_ptr<child_process> start_engine(std::string const& name,
                                                std::string const& software)
    {
        auto const records = record_file(name);
        std::vector<std::string> const arguments{
            "users-endpoint", "--id",       name,        "--service", service,
            "--zone",         "zone-a",     "--model",   service,     "--store",
            store_text,       "--software", software,    "--age-ms",  "90000",
            "--work-ms",      "100",        "--records", records};
        auto engine = std::make_unique<child_process>("marjorampath-standin", arguments,
                                                      records + ".log");
        call(engine->address(), "POST", "/standin/set",
             fmt::format(R"({{"address":"{}"}})", engine->address_text()));
        return engine;
    }

    [[nodiscard]] header_fields fields(std::string const& attempt) const
    {
        return {{"Host", deployment.host},     {"X-Attempt-Id", attempt},
                {"X-Model", service + "/a1"},  {"X-Token-Count", "100,40"},
                {"X-Prompt-Prefix", "a1:100"}, {"X-Deadline-Ms", "15000"}};
    }

    // Whether a stream begins; it is abandoned behind its first events
    bool begin_stream(std::string const& attempt)
    {
        test_client client(entry.node().address());
        client.send("POST", deployment.streams + "x", "{}", fields(attempt));
        return client.read_events(read_events);
    }

    // Takes a stream up again behind the events that were read
    test_answer resume(std::string const& stream, std::string const& attempt)
    {
        auto resumed = fields(attempt);
        resumed["Last-Event-Id"] = fmt::format("{}", read_events);
        resumed["Resumes"] = stream;
        return call(entry.node().address(), "POST", deployment.streams + "x", "{}",
                    resumed);
    }

    // The engine's entry is removed; it has not said that it leaves, and serves on
    void remove_entry(std::string const& name, child_process const& engine)
    {
        call(engine.address(), "POST", "/standin/set", R"({"unlisted":true})");
        call(entry.store(), "PUT",
             fmt::format("/standin/delete?key={}{}", platform::endpoint_prefix, name));
    }

    void check_not_joined(test_answer const& answer)
    {
        BOOST_TEST(answer.body.find(":v2") == std::string::npos,
                   "status " << answer.status << ", body " << answer.body);
        BOOST_TEST((answer.status != 200U || !answer.ended));
    }

    // The node starts again; the stream is not continued, and new ones are served by the
    // version that is left
    void check_not_continued_behind_a_start()
    {
        entry.restart_node();
        BOOST_REQUIRE(entry.becomes_ready());
        for (int round = 0; round < 3; ++round)
            check_not_joined(resume("s1", fmt::format("r{}", round)));
        BOOST_TEST(eventually([this] { return begin_stream("new"); }, 20s));
        check_not_joined(resume("s1", "late"));
    }

    platform::standin_deployment const deployment;
    std::string const service = deployment.model_service;
    entry_process entry{{.node_settings = "witnesses: 1\n"}};
    std::string const store_text = fmt::format("127.0.0.1:{}", entry.store().port());
    std::unique_ptr<child_process> old_engine;
    std::unique_ptr<child_process> new_engine;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(joined_versions, versions_fixture)

// Guards against a node that has just started and takes the only version it sees for the
// one that began every stream (review/7)
BOOST_AUTO_TEST_CASE(a_stream_of_a_version_that_left_before_the_start_is_not_continued)
{
    BOOST_REQUIRE(begin_stream("s1"));
    new_engine = start_engine("engine-new", "v2");
    BOOST_REQUIRE(eventually([this] { return entry.has_logged("engine-new"); }));
    remove_entry("engine-old", *old_engine);
    BOOST_REQUIRE(eventually([this] { return entry.has_logged("endpoint_lost"); }));
    check_not_continued_behind_a_start();
}

// As above, where the entry is removed while no node is up
BOOST_AUTO_TEST_CASE(
    a_stream_of_a_version_that_left_while_no_node_was_up_is_not_continued)
{
    BOOST_REQUIRE(begin_stream("s1"));
    new_engine = start_engine("engine-new", "v2");
    BOOST_REQUIRE(eventually([this] { return entry.has_logged("engine-new"); }));
    entry.node().signal(SIGKILL);
    remove_entry("engine-old", *old_engine);
    old_engine.reset();
    check_not_continued_behind_a_start();
}

BOOST_AUTO_TEST_SUITE_END()
