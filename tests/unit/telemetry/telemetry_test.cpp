#include <marjorampath/core/identifier.hpp>
#include <serving/telemetry/log.hpp>
#include <serving/telemetry/metrics.hpp>

#include <boost/test/unit_test.hpp>

#include <cstdio>
#include <fstream>
#include <iterator>
#include <memory>
#include <set>
#include <string>
#include <thread>

using namespace marjorampath;
using namespace marjorampath::serving;

namespace
{

struct file_closer
{
    void operator()(std::FILE* file) const
    {
        std::fclose(file);
    }
};

using file_ptr = std::unique_ptr<std::FILE, file_closer>;

std::string content_of(std::FILE* file)
{
    std::rewind(file);
    std::string text(1 << 20, '\0');
    text.resize(std::fread(text.data(), 1, text.size(), file));
    return text;
}

std::size_t count_of(std::string const& text, std::string const& part)
{
    std::size_t found = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++found;
    return found;
}

constexpr metric test_requests{.name = "test_requests_total", .help = "Requests."};
constexpr metric test_latency{
    .name = "test_latency_seconds", .help = "Times.", .kind = metric_kind::latency};

} // namespace

BOOST_AUTO_TEST_SUITE(telemetry)

BOOST_AUTO_TEST_CASE(the_events_page_agrees_with_the_catalogue)
{
    // The source path leads to the page whatever the working directory is
    std::string const source = __FILE__;
    std::ifstream file(source.substr(0, source.find("tests/unit")) + "docs/EVENTS.md");
    std::string const page{std::istreambuf_iterator<char>(file), {}};
    BOOST_TEST((page == event_catalogue_page()), "run tools/generate_events_doc.sh");
}

BOOST_AUTO_TEST_CASE(every_event_has_a_name_of_its_own)
{
    std::set<std::string_view> names;
    for (auto const& row : all_events())
    {
        BOOST_TEST(names.insert(row.name).second);
        BOOST_TEST(&find_event_entry(row.id) == &row);
    }
}

BOOST_AUTO_TEST_CASE(a_line_holds_number_name_and_escaped_fields)
{
    file_ptr const file(std::tmpfile());
    logger target({.output = file.get()});
    log_event_to(target, event::node_started, "host", "entry-1", "text", "a b\n\"c",
                 "count", 3, "id", host_id(255));
    target.flush();
    auto const text = content_of(file.get());
    BOOST_TEST(text.find(" info E100 node_started host=entry-1 text=\"a b\\x0a\\\"c\" "
                         "count=3 id=00000000000000ff\n") != std::string::npos,
               text);
}

BOOST_AUTO_TEST_CASE(repeats_of_an_event_are_counted)
{
    constexpr int repeats = 10'000;
    file_ptr const file(std::tmpfile());
    {
        logger target({.output = file.get(), .queue_limit = 100'000});
        for (int index = 0; index < repeats; ++index)
            log_event_to(target, event::link_lost, "peer", "p");
    }
    auto const text = content_of(file.get());
    auto const written = count_of(text, "peer=p");
    BOOST_TEST(written < repeats / 10U);

    // Lines written and lines counted add up to all of them
    std::size_t suppressed = 0;
    for (auto at = text.find("suppressed="); at != std::string::npos;
         at = text.find("suppressed=", at + 1))
        suppressed += std::stoul(text.substr(at + 11));
    BOOST_TEST(written + suppressed == repeats);
}

BOOST_AUTO_TEST_CASE(shards_are_merged_when_scraped)
{
    metrics_registry registry;
    auto& first = registry.make_shard();
    auto& second = registry.make_shard();
    auto const labels = metric_label("service", "a\"b");
    std::thread worker(
        [&]
        {
            for (int index = 0; index < 1'000; ++index)
                second.number(test_requests, labels).add();
        });
    for (int index = 0; index < 500; ++index)
        first.number(test_requests, labels).add();
    worker.join();
    first.latency(test_latency).record(0.002);
    second.latency(test_latency).record(0.2);
    second.latency(test_latency).record(100);

    auto const page = registry.exposition();
    auto const has = [&](std::string const& line) {
        BOOST_TEST(page.find(line + "\n") != std::string::npos, line << " in\n" << page);
    };
    has("# TYPE test_requests_total counter");
    has("test_requests_total{service=\"a\\\"b\"} 1500");
    has("# TYPE test_latency_seconds histogram");
    has("test_latency_seconds_bucket{le=\"0.001\"} 0");
    has("test_latency_seconds_bucket{le=\"0.0025\"} 1");
    has("test_latency_seconds_bucket{le=\"30\"} 2");
    has("test_latency_seconds_bucket{le=\"+Inf\"} 3");
    has("test_latency_seconds_count 3");
}

BOOST_AUTO_TEST_SUITE_END()
