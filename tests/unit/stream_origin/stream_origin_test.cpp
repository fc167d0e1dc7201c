#include <marjorampath/peer/peer_table.hpp>
#include <marjorampath/stream_origin/open_streams.hpp>
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

// All hosts but the one that serves a stream start again one after the other, while the
// stream runs; then that one is lost
BOOST_AUTO_TEST_CASE(a_restart_of_all_hosts_in_turn_loses_no_open_stream)
{
    constexpr std::uint32_t hosts = 9;
    constexpr std::size_t replicas = 4;
    constexpr std::size_t queries = 6;
    auto const peers = view_of(0, hosts);
    std::vector<stream_origin_table> tables(hosts, stream_origin_table({}));
    open_streams open;
    for (std::uint64_t number = 1; number <= 50; ++number)
    {
        stream_origin const origin{.stream =
                                       stream_id::of(fmt::format("stream-{}", number)),
                                   .software_version = "v1"};
        open.add(origin);
        for (std::uint32_t index = 1; index < hosts; ++index)
        {
            auto const chosen =
                choose_stream_replicas(peers, origin.stream, replicas, now);
            if (std::find(chosen.begin(), chosen.end(), host_of(index)) != chosen.end())
                tables[index].remember(origin, now);
        }
    }
    open.remove(stream_id::of("stream-50"));
    for (std::uint32_t index = 1; index < hosts; ++index)
    {
        tables[index] = stream_origin_table({});
        for (auto const& origin : open.origins_for(host_of(index), peers, replicas, now))
            tables[index].remember(origin, now);
    }

    // Whether a host that a caller turns to learns the origin
    auto const is_found = [&](std::string const& name)
    {
        auto const stream = stream_id::of(name);
        auto const asked =
            choose_stream_replicas(view_of(1, hosts, {0}), stream, queries, now);
        auto found = tables[1].find(stream, now).has_value();
        for (std::uint32_t index = 2; index < hosts; ++index)
            if (std::find(asked.begin(), asked.end(), host_of(index)) != asked.end())
                found = found || tables[index].find(stream, now).has_value();
        return found;
    };
    for (std::uint64_t number = 1; number < 50; ++number)
        BOOST_TEST(is_found(fmt::format("stream-{}", number)), "stream " << number);
    BOOST_TEST(!is_found("stream-50"));
}

BOOST_AUTO_TEST_SUITE_END()
