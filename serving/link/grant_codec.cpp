#include <serving/clock/boot_time.hpp>
#include <serving/link/codec.hpp>
#include <serving/link/grant_codec.hpp>

namespace marjorampath::schema
{

namespace
{

// A newer node may send a reason that this version does not know; it still means that
// the request did not run
error_kind decode_reason(capnp::Text::Reader name)
{
    std::string_view const wire_name(name.begin(), name.size());
    for (auto const& row : all_error_answers())
    {
        if (row.name == wire_name && row.result == outcome::not_run)
            return row.kind;
    }
    return error_kind::no_endpoint;
}

} // namespace

void encode(serving::node_hello const& value, Hello::Builder wire)
{
    wire.setVersion(value.version);
    wire.setHost(value.host.number());
    wire.setIncarnation(value.incarnation);
}

void decode(Hello::Reader wire, serving::node_hello& value)
{
    value.version = wire.getVersion();
    decode(wire.getHost(), value.host);
    value.incarnation = wire.getIncarnation();
}

void encode(serving::acknowledgement const& value, Acknowledgement::Builder wire)
{
    wire.setAccepted(value.accepted);
}

void decode(Acknowledgement::Reader wire, serving::acknowledgement& value)
{
    value.accepted = wire.getAccepted();
}

void encode(serving::cell_grant_request const& value, GrantRequest::Builder wire)
{
    auto const& request = value.request;
    wire.setCell(value.cell.number());
    wire.setRequest(request.request.number());
    wire.setEntry(request.entry.number());
    wire.setService(request.service.number());
    wire.setTeam(request.team.number());
    wire.setTeamWeight(request.team_weight);
    wire.setEndpoints(request.endpoints.number());
    wire.setAdapter(request.adapter.number());
    wire.setFingerprint(request.fingerprint.number());
    wire.setPrefix(request.prefix);
    wire.setPriority(request.priority);
    wire.setIdempotent(request.idempotent);

    // Clocks differ between hosts, so the time left is sent
    wire.setRemaining(encode_duration(request.deadline - serving::boot_now()));
    wire.setPromptTokens(request.prompt_tokens);
    wire.setMaxTokens(request.max_tokens);
    wire.setSheetNumber(request.sheet_number);
    wire.setIsolated(request.isolated);
    wire.setAttempt(request.attempt);
}

void decode(GrantRequest::Reader wire, serving::cell_grant_request& value)
{
    auto& request = value.request;
    decode(wire.getCell(), value.cell);
    decode(wire.getRequest(), request.request);
    decode(wire.getEntry(), request.entry);
    decode(wire.getService(), request.service);
    decode(wire.getTeam(), request.team);
    request.team_weight = wire.getTeamWeight();
    decode(wire.getEndpoints(), request.endpoints);
    decode(wire.getAdapter(), request.adapter);
    decode(wire.getFingerprint(), request.fingerprint);
    request.prefix = wire.getPrefix();
    request.priority = wire.getPriority();
    request.idempotent = wire.getIdempotent();
    request.deadline = serving::boot_now() + decode_duration(wire.getRemaining());
    request.prompt_tokens = wire.getPromptTokens();
    request.max_tokens = wire.getMaxTokens();
    request.sheet_number = wire.getSheetNumber();
    request.isolated = wire.getIsolated();
    request.attempt = wire.getAttempt();
}

void encode(serving::cell_grant_reply const& value, GrantReply::Builder wire)
{
    wire.setRequest(value.request.number());
    wire.setFencingNumber(value.fencing_number);
    if (auto const* granted =
            std::get_if<serving::cell_grant_reply::granted>(&value.decision))
        wire.setEndpoint(granted->endpoint.number());
    else if (auto const* refused =
                 std::get_if<serving::cell_grant_reply::refused>(&value.decision))
    {
        auto const name = answer_of(refused->reason).name;
        auto refusal = wire.initRefusal();
        refusal.setReason(kj::heapString(name.data(), name.size()));
        refusal.setRetryAfter(encode_duration(refused->retry_after));
    }
    else
        wire.setNotOwner(std::get<serving::cell_grant_reply::not_owner>(value.decision)
                             .owner.number());
}

void decode(GrantReply::Reader wire, serving::cell_grant_reply& value)
{
    decode(wire.getRequest(), value.request);
    value.fencing_number = wire.getFencingNumber();
    switch (wire.which())
    {
    case GrantReply::ENDPOINT:
        value.decision =
            serving::cell_grant_reply::granted{endpoint_id(wire.getEndpoint())};
        return;
    case GrantReply::REFUSAL:
        value.decision = serving::cell_grant_reply::refused{
            decode_reason(wire.getRefusal().getReason()),
            decode_duration(wire.getRefusal().getRetryAfter())};
        return;
    case GrantReply::NOT_OWNER:
        value.decision =
            serving::cell_grant_reply::not_owner{host_id(wire.getNotOwner())};
        return;
    }
    KJ_FAIL_REQUIRE("unknown decision");
}

void encode(serving::cell_release const& value, ReleaseReport::Builder wire)
{
    wire.setCell(value.cell.number());
    wire.setRequest(value.report.request.number());
    wire.setEndpoint(value.report.endpoint.number());
    wire.setReason(encode_enum<ReleaseReason>(value.report.reason));
    wire.setTokens(value.report.tokens);
}

void decode(ReleaseReport::Reader wire, serving::cell_release& value)
{
    decode(wire.getCell(), value.cell);
    decode(wire.getRequest(), value.report.request);
    decode(wire.getEndpoint(), value.report.endpoint);
    value.report.reason = decode_enum(wire.getReason(), release_reason::endpoint_lost);
    value.report.tokens = wire.getTokens();
}

void encode(grant_recall const& value, GrantRecall::Builder wire)
{
    wire.setCell(value.cell.number());
    wire.setOwner(value.owner.number());
    wire.setFencingNumber(value.fencing_number);
}

void decode(GrantRecall::Reader wire, grant_recall& value)
{
    decode(wire.getCell(), value.cell);
    decode(wire.getOwner(), value.owner);
    value.fencing_number = wire.getFencingNumber();
}

void encode(held_grant const& value, HeldGrant::Builder wire)
{
    wire.setRequest(value.request.number());
    wire.setEndpoint(value.endpoint.number());
    wire.setAdapter(value.adapter.number());
    wire.setFingerprint(value.fingerprint.number());
    wire.setRemaining(encode_duration(value.remaining));
    wire.setKind(value.kind.number());
    wire.setTeam(value.team.number());
    wire.setIsolated(value.isolated);
}

void decode(HeldGrant::Reader wire, held_grant& value)
{
    decode(wire.getRequest(), value.request);
    decode(wire.getEndpoint(), value.endpoint);
    decode(wire.getAdapter(), value.adapter);
    decode(wire.getFingerprint(), value.fingerprint);
    value.remaining = decode_duration(wire.getRemaining());
    decode(wire.getKind(), value.kind);
    decode(wire.getTeam(), value.team);
    value.isolated = wire.getIsolated();
}

void encode(grant_list const& value, GrantList::Builder wire)
{
    wire.setEntry(value.entry.number());
    wire.setEntryIncarnation(value.entry_incarnation);
    wire.setCell(value.cell.number());
    wire.setFencingNumber(value.fencing_number);
    encode_list(value.grants, wire.initGrants(wire_size(value.grants)));
}

void decode(GrantList::Reader wire, grant_list& value)
{
    decode(wire.getEntry(), value.entry);
    value.entry_incarnation = wire.getEntryIncarnation();
    decode(wire.getCell(), value.cell);
    value.fencing_number = wire.getFencingNumber();
    decode_list(wire.getGrants(), value.grants);
}

} // namespace marjorampath::schema
