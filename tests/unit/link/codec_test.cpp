#include <serving/clock/boot_time.hpp>
#include <serving/link/node_method.hpp>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/test/unit_test.hpp>

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <cstring>
#include <string>

using namespace marjorampath;
using namespace marjorampath::serving;

namespace
{

/// Number of corrupted copies of each message that are decoded.
constexpr int corrupted_copies = 2'000;
constexpr std::uint32_t corruption_seed = 20261203;

template <class Wire, class Message>
kj::Array<capnp::word> to_words(Message const& message)
{
    capnp::MallocMessageBuilder builder;
    encode(message, builder.initRoot<Wire>());
    return capnp::messageToFlatArray(builder);
}

template <class Wire, class Message>
Message from_words(kj::ArrayPtr<capnp::word const> words)
{
    capnp::FlatArrayMessageReader reader(words);
    Message message;
    decode(reader.getRoot<Wire>(), message);
    return message;
}

/// Encodes, decodes and encodes again. Equal bytes mean that no field was lost, provided
/// that each field of the sample differs from its default value.
template <class Wire, class Message>
void check_round_trip(Message const& sample)
{
    auto const words = to_words<Wire>(sample);
    auto const again = to_words<Wire>(from_words<Wire, Message>(words));
    BOOST_TEST((words.asBytes() == again.asBytes()));
    BOOST_TEST((words.asBytes() != to_words<Wire>(Message{}).asBytes()));
}

/// Decodes corrupted copies: each must give a message or an exception of the RPC library,
/// which fails the call.
template <class Wire, class Message>
void check_corrupted_copies(Message const& sample)
{
    boost::random::mt19937 random(corruption_seed);
    auto const words = to_words<Wire>(sample);
    boost::random::uniform_int_distribution<std::size_t> position(
        0, words.asBytes().size() - 1);
    boost::random::uniform_int_distribution<int> value(0, 255);
    int rejected = 0;
    for (int round = 0; round < corrupted_copies; ++round)
    {
        auto copy = kj::heapArray<capnp::word>(words.size());
        std::memcpy(copy.begin(), words.begin(), words.asBytes().size());
        auto bytes = copy.asBytes();
        for (int count = 0; count <= round % 4; ++count)
            bytes[position(random)] = static_cast<kj::byte>(value(random));
        try
        {
            auto const size = round % 8 == 7 ? copy.size() / 2 : copy.size();
            from_words<Wire, Message>(copy.slice(0, size));
        }
        catch (kj::Exception const&)
        {
            ++rejected;
        }
    }
    BOOST_TEST(rejected > 0);
}

template <class Wire, class Message>
void check(Message const& sample)
{
    check_round_trip<Wire>(sample);
    check_corrupted_copies<Wire>(sample);
}

gossip sample_gossip()
{
    return {.hosts = {{.host = host_id(1),
                       .zone = zone_id(2),
                       .region = region_id(3),
                       .incarnation = 4,
                       .counter = 5,
                       .state = marjorampath::host_state::suspect}},
            .sheet_number = 6,
            .sheet_digest = 7,
            .leases = {{resource_id(8), host_id(9), 10}},
            .convictions = {{.fingerprint = fingerprint_id(11),
                             .first_crash = 12,
                             .second_crash = 13,
                             .crashed_at = wall_milliseconds(14),
                             .remaining = duration(15)}},
            .releases = {{.fingerprint = fingerprint_id(16),
                          .released_at = wall_milliseconds(17),
                          .remaining = duration(18)}}};
}

} // namespace

BOOST_AUTO_TEST_SUITE(link_codec)

BOOST_AUTO_TEST_CASE(membership_messages)
{
    auto const updates = sample_gossip();
    auto const sender = updates.hosts.front();
    check<schema::Probe>(probe{1, sender, host_id(2), updates});
    check<schema::IndirectProbe>(indirect_probe{1, sender, host_id(2), updates});
    check<schema::ProbeReply>(probe_reply{1, sender, host_id(2), 3, updates});
}

BOOST_AUTO_TEST_CASE(lease_messages)
{
    check<schema::LeaseRequest>(lease_request{host_id(1), 2, 3, {{resource_id(4), 5}}});
    check<schema::LeaseReply>(
        lease_reply{host_id(1),
                    2,
                    3,
                    true,
                    duration(4),
                    {{resource_id(5), true, host_id(6), duration(7), 8}}});
    check<schema::LeaseRelease>(lease_release{.holder = host_id(1),
                                              .holder_incarnation = 2,
                                              .request_number = 6,
                                              .successor = host_id(3),
                                              .resources = {{resource_id(4), 5}}});
}

BOOST_AUTO_TEST_CASE(grant_messages)
{
    check<schema::Hello>(node_hello{7, host_id(1), 2});
    check<schema::GrantReply>(
        cell_grant_reply{request_id(1), 2, cell_grant_reply::granted{endpoint_id(3)}});
    check<schema::GrantReply>(cell_grant_reply{
        request_id(1), 2,
        cell_grant_reply::refused{error_kind::queue_full, std::chrono::seconds(1)}});
    check<schema::GrantReply>(
        cell_grant_reply{request_id(1), 2, cell_grant_reply::not_owner{host_id(3)}});
    check<schema::ReleaseReport>(
        cell_release{resource_id(1),
                     {request_id(2), endpoint_id(3), release_reason::endpoint_lost, 4}});
    check<schema::GrantRecall>(grant_recall{resource_id(1), host_id(2), 3});
    check<schema::GrantList>(grant_list{
        host_id(1),
        2,
        resource_id(3),
        4,
        {{request_id(5), endpoint_id(6), adapter_version_id(7), fingerprint_id(8),
          duration(9), endpoint_kind_id(10), team_id(11), true}}});
}

BOOST_AUTO_TEST_CASE(a_grant_request_keeps_all_fields_and_the_remaining_time)
{
    cell_grant_request sample;
    sample.cell = resource_id(1);
    sample.request = {.request = request_id(2),
                      .entry = host_id(3),
                      .service = service_id(4),
                      .team = team_id(5),
                      .team_weight = 6,
                      .endpoints = endpoint_kind_id(7),
                      .adapter = adapter_version_id(8),
                      .fingerprint = fingerprint_id(9),
                      .prefix = 10,
                      .priority = -11,
                      .idempotent = false,
                      .isolated = true,
                      .attempt = 15,
                      .deadline = boot_now() + std::chrono::seconds(20),
                      .prompt_tokens = 12,
                      .max_tokens = 13,
                      .sheet_number = 14};
    auto const words = to_words<schema::GrantRequest>(sample);
    auto const result = from_words<schema::GrantRequest, cell_grant_request>(words);
    auto const& request = result.request;
    BOOST_TEST((result.cell == resource_id(1)));
    BOOST_TEST((request.request == request_id(2) && request.entry == host_id(3)));
    BOOST_TEST((request.service == service_id(4) && request.team == team_id(5)));
    BOOST_TEST(request.team_weight == 6U);
    BOOST_TEST((request.endpoints == endpoint_kind_id(7)));
    BOOST_TEST((request.adapter == adapter_version_id(8)));
    BOOST_TEST((request.fingerprint == fingerprint_id(9)));
    BOOST_TEST(request.prefix == 10U);
    BOOST_TEST(request.priority == -11);
    BOOST_TEST(!request.idempotent);
    BOOST_TEST(request.isolated);
    BOOST_TEST(request.attempt == 15U);
    BOOST_TEST(request.prompt_tokens == 12U);
    BOOST_TEST(request.max_tokens == 13U);
    BOOST_TEST(request.sheet_number == 14U);
    auto const deadline_shift = request.deadline - sample.request.deadline;
    BOOST_TEST(
        (deadline_shift >= duration(0) && deadline_shift < std::chrono::seconds(5)));
    check_corrupted_copies<schema::GrantRequest>(sample);
}

BOOST_AUTO_TEST_CASE(a_refusal_with_an_unknown_reason_still_means_not_run)
{
    capnp::MallocMessageBuilder builder;
    auto wire = builder.initRoot<schema::GrantReply>();
    for (auto const* reason : {"reason_of_a_newer_version", "endpoint_lost", ""})
    {
        wire.initRefusal().setReason(reason);
        cell_grant_reply reply;
        decode(wire.asReader(), reply);
        auto const kind = std::get<cell_grant_reply::refused>(reply.decision).reason;
        BOOST_TEST((answer_of(kind).result == outcome::not_run));
    }
}

BOOST_AUTO_TEST_CASE(sheet_messages)
{
    check<schema::SheetRequest>(sheet_request{1, {"digest-1", "digest-2"}});
    check<schema::SheetReply>(sheet_reply{1, "manifest", {{"name", "text"}}});
}

BOOST_AUTO_TEST_SUITE_END()
