#include <serving/clock/boot_time.hpp>
#include <serving/fleet/sheet_exchange.hpp>
#include <serving/telemetry/log.hpp>

#include <algorithm>
#include <utility>
#include <variant>

namespace marjorampath::serving
{

sheet_exchange::sheet_exchange(host_id self, sheet_spread_options options,
                               sheet_holder& holder, sheet_exchange_functions functions,
                               time_point now)
    : spread_(self, options, now), holder_(holder), functions_(std::move(functions))
{
}

void sheet_exchange::on_gossip(host_id peer, std::uint64_t number, std::uint64_t digest,
                               time_point now)
{
    sheet_spread_actions actions;
    spread_.on_peer_number(now, peer, number, digest, actions);
    carry_out(actions);
}

void sheet_exchange::on_tick(std::span<known_host const> hosts, time_point now)
{
    sheet_spread_actions actions;
    spread_.set_hosts(hosts);
    spread_.on_tick(now, actions);
    carry_out(actions);
}

void sheet_exchange::on_configuration_sheet()
{
    sheet_spread_actions actions;
    spread_.on_sheet_checked(holder_.number(), holder_.current()->digest(), actions);
    carry_out(actions);
}

sheet_reply sheet_exchange::answer(sheet_request const& request) const
{
    sheet_reply reply{.number = holder_.number(), .manifest = {}, .parts = {}};
    if (holder_.number() <= request.number)
        return reply;
    reply.manifest = holder_.manifest().to_csv();
    std::size_t bytes = 0;
    for (auto const& entry : holder_.manifest().parts)
    {
        if (std::ranges::find(request.part_digests, entry.digest) !=
            request.part_digests.end())
            continue;
        auto const* const text = holder_.find_part(entry.digest);
        if (text == nullptr)
            continue;
        if (!reply.parts.empty() && bytes + text->size() > max_reply_bytes)
            break;
        bytes += text->size();
        reply.parts.push_back({entry.name, *text});
    }
    return reply;
}

void sheet_exchange::carry_out(sheet_spread_actions const& actions)
{
    for (auto const& action : actions)
    {
        if (auto const* question = std::get_if<request_sheet_from_peer>(&action))
            ask(question->peer);
        else if (auto const* watch = std::get_if<watch_configuration>(&action))
            functions_.watch(watch->on);
        else if (std::holds_alternative<install_sheet>(action))
            functions_.on_sheet(holder_.current());
        else if (auto const* conflict = std::get_if<sheet_conflict>(&action))
            log_event(event::sheet_rejected, "number", conflict->number, "problem",
                      "a peer has another sheet of this number");
    }
}

void sheet_exchange::ask(host_id peer)
{
    sheet_request request{.number = holder_.number(), .part_digests = {}};
    for (auto const& entry : holder_.manifest().parts)
        request.part_digests.push_back(entry.digest);
    for (auto const& [digest, text] : received_)
        request.part_digests.push_back(digest);
    functions_.call(peer, request,
                    [this, peer](std::error_code error, sheet_reply const& reply)
                    {
                        if (error)
                            end(peer);
                        else
                            take(peer, reply);
                    });
}

void sheet_exchange::take(host_id peer, sheet_reply const& reply)
{
    auto const read = read_sheet_manifest(reply.manifest);
    auto const* const manifest = std::get_if<sheet_manifest>(&read);
    if (reply.manifest.empty() || manifest == nullptr || !holder_.is_newer(*manifest))
        return end(peer);
    auto const progress = keep_parts(*manifest, reply);
    auto parts = collect(*manifest);
    if (!parts.empty())
    {
        install(*manifest, std::move(parts));
        return end(peer);
    }

    // The rest comes with the next reply
    if (progress)
        ask(peer);
    else
        end(peer);
}

bool sheet_exchange::keep_parts(sheet_manifest const& manifest, sheet_reply const& reply)
{
    if (manifest.number != received_number_)
    {
        received_.clear();
        received_number_ = manifest.number;
    }
    bool any = false;
    for (auto const& part : reply.parts)
    {
        // What the manifest does not name is not kept, which bounds the memory
        auto const digest = sheet_part_digest(part.text);
        auto const named =
            std::ranges::find(manifest.parts, digest, &sheet_manifest::entry::digest);
        if (named != manifest.parts.end())
            any = received_.emplace(digest, part.text).second || any;
    }
    return any;
}

std::vector<sheet_part> sheet_exchange::collect(sheet_manifest const& manifest) const
{
    std::vector<sheet_part> parts;
    for (auto const& entry : manifest.parts)
    {
        auto const found = received_.find(entry.digest);
        auto const* const text =
            found != received_.end() ? &found->second : holder_.find_part(entry.digest);
        if (text == nullptr)
            return {};
        parts.push_back({entry.name, *text});
    }
    return parts;
}

void sheet_exchange::install(sheet_manifest const& manifest,
                             std::vector<sheet_part> parts)
{
    received_.clear();
    if (holder_.offer(manifest, std::move(parts)) != sheet_offer_result::in_force)
    {
        for (auto const& problem : holder_.problems())
            log_event(event::sheet_rejected, "problem", problem.to_string());
        return;
    }
    sheet_spread_actions actions;
    spread_.on_sheet_checked(holder_.number(), holder_.current()->digest(), actions);
    carry_out(actions);
}

void sheet_exchange::end(host_id peer)
{
    sheet_spread_actions actions;
    spread_.on_peer_request_done(boot_now(), peer, actions);
    carry_out(actions);
}

} // namespace marjorampath::serving
