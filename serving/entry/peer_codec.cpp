#include <schema/peer.capnp.h>
#include <serving/entry/freshness_codec.hpp>
#include <serving/entry/peer_codec.hpp>
#include <serving/entry/stream_origin_codec.hpp>
#include <serving/link/codec.hpp>
#include <serving/link/lease_codec.hpp>
#include <serving/link/membership_codec.hpp>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace marjorampath::schema
{

namespace
{

// Bounds the work that a forged datagram can cause; far above the largest heartbeat
constexpr std::uint64_t traversal_limit_words = 131'072;
// First segment of a message that is built; holds a heartbeat of a small fleet
constexpr unsigned first_segment_words = 1'024;

} // namespace

// encode_list and decode_list of codec.hpp find these overloads in this namespace

void encode(peer_address const& value, PeerAddress::Builder wire)
{
    wire.setAddress(value.address);
    wire.setPort(value.port);
}

void decode(PeerAddress::Reader wire, peer_address& value)
{
    value.address = wire.getAddress();
    value.port = wire.getPort();
}

void encode(peer_mention const& value, PeerMention::Builder wire)
{
    wire.setHost(value.host.number());
    wire.setIncarnation(value.incarnation);
    encode(value.address, wire.initAddress());
}

void decode(PeerMention::Reader wire, peer_mention& value)
{
    decode(wire.getHost(), value.host);
    value.incarnation = wire.getIncarnation();
    decode(wire.getAddress(), value.address);
}

void encode(adapter_status const& value, AdapterStatus::Builder wire)
{
    wire.setName(value.name);
    wire.setVersion(value.version);
    wire.setReadyIn(encode_duration(value.ready_in));
    constexpr double largest = std::numeric_limits<std::uint16_t>::max();
    wire.setRequests(static_cast<std::uint16_t>(std::min(value.requests, largest)));
}

void decode(AdapterStatus::Reader wire, adapter_status& value)
{
    value.name = wire.getName().cStr();
    value.version = wire.getVersion();
    value.ready_in = decode_duration(wire.getReadyIn());
    value.requests = wire.getRequests();
}

void encode(engine_status const& value, EngineStatus::Builder wire)
{
    wire.setEndpoint(value.endpoint.number());
    wire.setBorn(value.started_at_ms);
    wire.setOrderable(value.accepts_orders);
    wire.setOrderableIn(encode_duration(value.accepts_orders_in));
    wire.setFreePlaces(value.free_adapter_slots);
    wire.setInFlight(value.in_flight);
    wire.setWaitingTokens(value.waiting_tokens);
    wire.setTokens(value.tokens);
    auto models = wire.initModels(wire_size(value.models));
    for (std::size_t index = 0; index < value.models.size(); ++index)
        models.set(static_cast<capnp::uint>(index), value.models[index]);
    encode_list(value.adapters, wire.initAdapters(wire_size(value.adapters)));
}

void decode(EngineStatus::Reader wire, engine_status& value)
{
    decode(wire.getEndpoint(), value.endpoint);
    value.started_at_ms = wire.getBorn();
    value.accepts_orders = wire.getOrderable();
    value.accepts_orders_in = decode_duration(wire.getOrderableIn());
    value.free_adapter_slots = wire.getFreePlaces();
    value.in_flight = wire.getInFlight();
    value.waiting_tokens = wire.getWaitingTokens();
    value.tokens = wire.getTokens();
    for (auto const model : wire.getModels())
        value.models.emplace_back(model.cStr());
    decode_list(wire.getAdapters(), value.adapters);
}

void encode(adapter_usage const& value, AdapterUsage::Builder wire)
{
    wire.setName(value.name);
    wire.setInFlight(value.in_flight);
    wire.setSent(value.sent);
}

void decode(AdapterUsage::Reader wire, adapter_usage& value)
{
    value.name = wire.getName().cStr();
    value.in_flight = wire.getInFlight();
    value.sent = wire.getSent();
}

void encode(endpoint_usage const& value, EngineUsage::Builder wire)
{
    wire.setEndpoint(value.endpoint.number());
    wire.setInFlight(value.in_flight);
    wire.setWaitingTokens(value.waiting_tokens);
    wire.setTokens(value.tokens);
    encode_list(value.adapters, wire.initAdapters(wire_size(value.adapters)));
}

void decode(EngineUsage::Reader wire, endpoint_usage& value)
{
    decode(wire.getEndpoint(), value.endpoint);
    value.in_flight = wire.getInFlight();
    value.waiting_tokens = wire.getWaitingTokens();
    value.tokens = wire.getTokens();
    decode_list(wire.getAdapters(), value.adapters);
}

void encode(rate_limit_notice const& value, RateLimit::Builder wire)
{
    wire.setEndpoint(value.endpoint.number());
    wire.setBorn(value.started_at_ms);
    wire.setLimited(value.rate.has_value());
    wire.setRate(value.rate.value_or(0));
    wire.setAge(encode_duration(value.age));
}

void decode(RateLimit::Reader wire, rate_limit_notice& value)
{
    decode(wire.getEndpoint(), value.endpoint);
    value.started_at_ms = wire.getBorn();
    auto const rate = wire.getRate();
    KJ_REQUIRE(std::isfinite(rate) && rate >= 0, "invalid rate limit");
    value.rate.reset();
    if (wire.getLimited())
        value.rate = rate;
    value.age = std::max(duration{0}, decode_duration(wire.getAge()));
}

void encode(part_report::crash const& value, PartCrash::Builder wire)
{
    wire.setId(value.id);
    wire.setAge(encode_duration(value.age));
}

void decode(PartCrash::Reader wire, part_report::crash& value)
{
    value.id = wire.getId();
    value.age = std::max(duration{0}, decode_duration(wire.getAge()));
}

void encode(part_report const& value, PartReport::Builder wire)
{
    wire.setPart(value.part);
    encode_list(value.crashes, wire.initCrashes(wire_size(value.crashes)));
    wire.setSound(value.sound_age.has_value());
    wire.setSoundAge(encode_duration(value.sound_age.value_or(duration{0})));
}

void decode(PartReport::Reader wire, part_report& value)
{
    value.part = wire.getPart();
    decode_list(wire.getCrashes(), value.crashes);
    value.sound_age.reset();
    if (wire.getSound())
        value.sound_age = std::max(duration{0}, decode_duration(wire.getSoundAge()));
}

void encode(permit_request const& value, PermitRequest::Builder wire)
{
    wire.setNumber(value.number);
    encode(value.limit, wire.initLimit());
}

void decode(PermitRequest::Reader wire, permit_request& value)
{
    value.number = wire.getNumber();
    decode(wire.getLimit(), value.limit);
}

void encode(permit_reply const& value, PermitReply::Builder wire)
{
    wire.setNumber(value.number);
    wire.setGranted(value.granted);
    wire.setWait(encode_duration(value.wait));
    encode(value.limit, wire.initLimit());
}

void decode(PermitReply::Reader wire, permit_reply& value)
{
    value.number = wire.getNumber();
    value.granted = wire.getGranted();
    value.wait = std::max(duration{0}, decode_duration(wire.getWait()));
    decode(wire.getLimit(), value.limit);
}

void encode(relayed_heartbeat const& value, RelayedBeat::Builder wire)
{
    wire.setMessage(kj::arrayPtr(reinterpret_cast<kj::byte const*>(value.message.data()),
                                 value.message.size()));
    wire.setAge(encode_duration(value.age));
}

void decode(RelayedBeat::Reader wire, relayed_heartbeat& value)
{
    auto const message = wire.getMessage();
    value.message.assign(reinterpret_cast<char const*>(message.begin()), message.size());
    value.age = std::max(duration{0}, decode_duration(wire.getAge()));
}

void encode(quota_report const& value, QuotaReport::Builder wire)
{
    wire.setOrganisation(value.organisation);
    wire.setAsked(value.asked);
    wire.setUsed(value.used);
}

void decode(QuotaReport::Reader wire, quota_report& value)
{
    value.organisation = wire.getOrganisation();
    value.asked = wire.getAsked();
    value.used = wire.getUsed();
}

void encode(peer_heartbeat const& value, PeerBeat::Builder wire)
{
    wire.setHost(value.host.number());
    wire.setZone(value.zone.number());
    wire.setIncarnation(value.incarnation);
    encode(value.address, wire.initAddress());
    wire.setLeaving(value.leaving);
    wire.setGone(value.gone);
    wire.setOperatorRevision(value.operator_change.revision);
    wire.setOperatorEra(value.operator_change.era);
    wire.setKeptConfiguration(value.kept_configuration);
    wire.setListingRevision(value.listing_position.revision);
    wire.setListingEra(value.listing_position.era);
    wire.setListingAge(encode_duration(value.listing_age));
    wire.setTransit(value.loads_in_transit);
    encode_list(value.mentions, wire.initMentions(wire_size(value.mentions)));
    encode_list(value.engines, wire.initEngines(wire_size(value.engines)));
    encode_list(value.usage, wire.initUsage(wire_size(value.usage)));
    encode_list(value.convictions, wire.initConvictions(wire_size(value.convictions)));
    encode_list(value.rate_limits, wire.initRateLimits(wire_size(value.rate_limits)));
    encode_list(value.parts, wire.initParts(wire_size(value.parts)));
    auto unreached = wire.initUnreachedServices(wire_size(value.unreached_services));
    for (std::size_t index = 0; index < value.unreached_services.size(); ++index)
        unreached.set(static_cast<capnp::uint>(index),
                      value.unreached_services[index].number());
    wire.setPassesOn(value.passes_on);
    wire.setSequence(value.sequence);
    wire.setToPassOn(value.to_pass_on);
    encode_list(value.relayed, wire.initRelayed(wire_size(value.relayed)));
    wire.setConfigurationAge(encode_known_age(value.configuration_age));
    encode_list(value.quotas, wire.initQuotas(wire_size(value.quotas)));
}

void decode(PeerBeat::Reader wire, peer_heartbeat& value)
{
    decode(wire.getHost(), value.host);
    decode(wire.getZone(), value.zone);
    value.incarnation = wire.getIncarnation();
    decode(wire.getAddress(), value.address);
    value.leaving = wire.getLeaving();
    value.gone = wire.getGone();
    value.operator_change = {.era = wire.getOperatorEra(),
                             .revision = wire.getOperatorRevision()};
    value.kept_configuration = wire.getKeptConfiguration();
    value.listing_position = {.era = wire.getListingEra(),
                              .revision = wire.getListingRevision()};
    value.listing_age = decode_duration(wire.getListingAge());
    value.loads_in_transit = wire.getTransit();
    decode_list(wire.getMentions(), value.mentions);
    decode_list(wire.getEngines(), value.engines);
    decode_list(wire.getUsage(), value.usage);
    decode_list(wire.getConvictions(), value.convictions);
    decode_list(wire.getRateLimits(), value.rate_limits);
    decode_list(wire.getParts(), value.parts);
    for (auto const service : wire.getUnreachedServices())
        value.unreached_services.emplace_back(service);
    value.passes_on = wire.getPassesOn();
    value.sequence = wire.getSequence();
    value.to_pass_on = wire.getToPassOn();
    decode_list(wire.getRelayed(), value.relayed);
    value.configuration_age = decode_known_age(wire.getConfigurationAge());
    decode_list(wire.getQuotas(), value.quotas);
}

void encode(load_request const& value, LoadRequest::Builder wire)
{
    wire.setEndpoint(value.endpoint.number());
    wire.setAdapter(value.adapter);
}

void decode(LoadRequest::Reader wire, load_request& value)
{
    decode(wire.getEndpoint(), value.endpoint);
    value.adapter = wire.getAdapter().cStr();
}

void encode(load_reply const& value, LoadReply::Builder wire)
{
    wire.setEndpoint(value.endpoint.number());
    wire.setAdapter(value.adapter);
    wire.setAccepted(value.accepted);
    wire.setReadyIn(encode_duration(value.ready_in));
}

void decode(LoadReply::Reader wire, load_reply& value)
{
    decode(wire.getEndpoint(), value.endpoint);
    value.adapter = wire.getAdapter().cStr();
    value.accepted = wire.getAccepted();
    value.ready_in = decode_duration(wire.getReadyIn());
}

void encode(usage_report const& value, UsageReport::Builder wire)
{
    wire.setHost(value.host.number());
    encode(value.usage, wire.initUsage());
    wire.setWantsStatus(value.wants_status);
}

void decode(UsageReport::Reader wire, usage_report& value)
{
    decode(wire.getHost(), value.host);
    decode(wire.getUsage(), value.usage);
    value.wants_status = wire.getWantsStatus();
}

namespace
{

// Writes a message to its member of the union
struct message_writer
{
    PeerMessage::Builder wire;

    void operator()(peer_heartbeat const& value)
    {
        encode(value, wire.initBeat());
    }
    void operator()(lease_request const& value)
    {
        encode(value, wire.initLeaseRequest());
    }
    void operator()(lease_reply const& value)
    {
        encode(value, wire.initLeaseReply());
    }
    void operator()(lease_release const& value)
    {
        encode(value, wire.initLeaseRelease());
    }
    void operator()(load_request const& value)
    {
        encode(value, wire.initLoadRequest());
    }
    void operator()(load_reply const& value)
    {
        encode(value, wire.initLoadReply());
    }
    void operator()(usage_report const& value)
    {
        encode(value, wire.initUsageReport());
    }
    void operator()(engine_status const& value)
    {
        encode(value, wire.initEngineStatus());
    }
    void operator()(permit_request const& value)
    {
        encode(value, wire.initPermitRequest());
    }
    void operator()(permit_reply const& value)
    {
        encode(value, wire.initPermitReply());
    }
    void operator()(rate_limit_notice const& value)
    {
        encode(value, wire.initRateLimit());
    }
    void operator()(stream_origin const& value)
    {
        encode(value, wire.initStreamOrigin());
    }
    void operator()(stream_origin_query const& value)
    {
        encode(value, wire.initStreamOriginQuery());
    }
    void operator()(stream_origin_reply const& value)
    {
        encode(value, wire.initStreamOriginReply());
    }
    void operator()(freshness_query const& value)
    {
        encode(value, wire.initFreshnessQuery());
    }
    void operator()(freshness_reply const& value)
    {
        encode(value, wire.initFreshnessReply());
    }
};

template <class Message, class Reader>
serving::peer_message decoded(Reader wire)
{
    Message value;
    decode(wire, value);
    return value;
}

serving::peer_message read_message(PeerMessage::Reader wire)
{
    switch (wire.which())
    {
    case PeerMessage::BEAT:
        return decoded<peer_heartbeat>(wire.getBeat());
    case PeerMessage::LEASE_REQUEST:
        return decoded<lease_request>(wire.getLeaseRequest());
    case PeerMessage::LEASE_REPLY:
        return decoded<lease_reply>(wire.getLeaseReply());
    case PeerMessage::LEASE_RELEASE:
        return decoded<lease_release>(wire.getLeaseRelease());
    case PeerMessage::LOAD_REQUEST:
        return decoded<load_request>(wire.getLoadRequest());
    case PeerMessage::LOAD_REPLY:
        return decoded<load_reply>(wire.getLoadReply());
    case PeerMessage::USAGE_REPORT:
        return decoded<usage_report>(wire.getUsageReport());
    case PeerMessage::ENGINE_STATUS:
        return decoded<engine_status>(wire.getEngineStatus());
    case PeerMessage::PERMIT_REQUEST:
        return decoded<permit_request>(wire.getPermitRequest());
    case PeerMessage::PERMIT_REPLY:
        return decoded<permit_reply>(wire.getPermitReply());
    case PeerMessage::RATE_LIMIT:
        return decoded<rate_limit_notice>(wire.getRateLimit());
    case PeerMessage::STREAM_ORIGIN:
        return decoded<stream_origin>(wire.getStreamOrigin());
    case PeerMessage::STREAM_ORIGIN_QUERY:
        return decoded<stream_origin_query>(wire.getStreamOriginQuery());
    case PeerMessage::STREAM_ORIGIN_REPLY:
        return decoded<stream_origin_reply>(wire.getStreamOriginReply());
    case PeerMessage::FRESHNESS_QUERY:
        return decoded<freshness_query>(wire.getFreshnessQuery());
    case PeerMessage::FRESHNESS_REPLY:
        return decoded<freshness_reply>(wire.getFreshnessReply());
    }
    KJ_FAIL_REQUIRE("unknown message");
}

} // namespace

} // namespace marjorampath::schema

namespace marjorampath::serving
{

std::string encode_peer_message(peer_message const& message)
{
    capnp::MallocMessageBuilder builder(schema::first_segment_words);
    std::visit(schema::message_writer{builder.initRoot<schema::PeerMessage>()}, message);
    kj::VectorOutputStream output;
    capnp::writePackedMessage(output, builder);
    auto const bytes = output.getArray();
    return {reinterpret_cast<char const*>(bytes.begin()), bytes.size()};
}

std::optional<peer_message> decode_peer_message(std::string_view bytes)
{
    std::optional<peer_message> message;
    auto const failure = kj::runCatchingExceptions(
        [&]
        {
            kj::ArrayInputStream input(kj::arrayPtr(
                reinterpret_cast<kj::byte const*>(bytes.data()), bytes.size()));
            capnp::ReaderOptions options;
            options.traversalLimitInWords = schema::traversal_limit_words;
            capnp::PackedMessageReader reader(input, options);
            message = schema::read_message(reader.getRoot<schema::PeerMessage>());
        });
    if (failure != nullptr)
        return std::nullopt;
    return message;
}

} // namespace marjorampath::serving
