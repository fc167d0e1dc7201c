#include <marjorampath/peer/peer_table.hpp>
#include <marjorampath/stream_origin/stream_origin_table.hpp>
#include <marjorampath/stream_origin/stream_replicas.hpp>

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <vector>

using namespace marjorampath;
using namespace std::chrono_literals;

namespace
{

time_point const now{1'000s};

host_id host_of(std::uint32_t index)
{
    return host_id::of(fmt::format("host-{}", index));
}

// The view of one host of the others that are alive
peer_table view_of(std::uint32_t self, std::uint32_t hosts,
                   std::set<std::uint32_t> const& lost = {})
{
    peer_table table({.host = host_of(self), .incarnation = 1}, {}, {});
    for (std::uint32_t index = 0; index < hosts; ++index)
        if (index != self && !lost.contains(index))
            table.on_heartbeat({.host = host_of(index),
                                .incarnation = 1,
                                .address = {.address = index + 1, .port = 9}},
                               now);
    return table;
}

} // namespace

BOOST_AUTO_TEST_SUITE(stream_origins)

BOOST_AUTO_TEST_CASE(an_origin_is_known_for_as_long_as_its_stream_can_be_continued)
{
    stream_origin_table table({.max_stream_age = 30s});
    auto const stream = stream_id::of("c877");
    BOOST_TEST(!table.find(stream, now));
    table.remember({.stream = stream, .software_version = "v1.2"}, now);

    // The attempt that continues a stream does not change its origin
    table.remember({.stream = stream, .software_version = "v1"}, now + 1s);
    BOOST_TEST(table.find(stream, now + 29s).value() == "v1.2");
    BOOST_TEST(!table.find(stream, now + 31s));
}

BOOST_AUTO_TEST_CASE(the_number_of_remembered_streams_is_bounded)
{
    stream_origin_table table({.max_stream_age = 30s, .max_streams = 100});
    for (std::uint64_t number = 1; number <= 250; ++number)
        table.remember({.stream = stream_id(number), .software_version = "v"}, now);
    BOOST_TEST(!table.find(stream_id(150), now));
    BOOST_TEST(table.find(stream_id(151), now).has_value());
    BOOST_TEST(table.find(stream_id(250), now).has_value());
}

// The host that served a stream and others are lost at the moment at which its caller
// continues it elsewhere
BOOST_AUTO_TEST_CASE(a_stream_is_found_unless_all_hosts_that_remember_it_are_lost)
{
    constexpr std::size_t replicas = 4;
    constexpr std::size_t queries = 6;
    for (std::uint32_t const hosts : {2U, 6U, 91U})
        for (std::uint64_t number = 1; number <= 200; ++number)
        {
            // The numbers of hosts need not be hashes, those of streams are
            auto const stream = stream_id::of(fmt::format("stream-{}", number));
            auto const remembered =
                choose_stream_replicas(view_of(0, hosts), stream, replicas, now);
            BOOST_TEST(remembered.size() == std::min<std::size_t>(replicas, hosts - 1));

            // The first host and two of those that remember the stream are lost
            std::set<std::uint32_t> lost{0};
            for (std::uint32_t index = 1; index < hosts && lost.size() < 3; ++index)
                if (hosts > 4 && std::find(remembered.begin(), remembered.end(),
                                           host_of(index)) != remembered.end())
                    lost.insert(index);
            auto const asking = hosts - 1;
            if (lost.contains(asking))
                continue;
            auto const asked = choose_stream_replicas(view_of(asking, hosts, lost),
                                                      stream, queries, now);
            auto const known =
                std::find(remembered.begin(), remembered.end(), host_of(asking)) !=
                    remembered.end() ||
                std::any_of(asked.begin(), asked.end(),
                            [&](host_id host) {
                                return std::find(remembered.begin(), remembered.end(),
                                                 host) != remembered.end();
                            });
            BOOST_TEST(known, "hosts " << hosts << ", stream " << number);
        }
}

BOOST_AUTO_TEST_SUITE_END()
