#pragma once

#include <marjorampath/gossip/sheet_reply.hpp>
#include <marjorampath/gossip/sheet_request.hpp>
#include <marjorampath/gossip/sheet_spread.hpp>
#include <serving/link/peer_link.hpp>
#include <serving/sheet_source/sheet_holder.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace marjorampath::serving
{

/// Who a `sheet_exchange` acts through.
struct sheet_exchange_functions
{
    /// Asks a host for its sheet.
    std::function<void(host_id, sheet_request const&, call_handler<sheet_reply>)> call;
    /// Starts or stops the watch of the configuration service.
    std::function<void(bool)> watch;
    /// Told of each sheet that comes into force.
    std::function<void(std::shared_ptr<sheet const>)> on_sheet;
};

/// Brings the latest sheet from peers to this host and gives it to others: only the parts
/// that the asker lacks, in replies of bounded size. The decisions are `sheet_spread`'s.
/// Used on the control thread only.
class sheet_exchange
{
public:
    /// Bytes of parts in one reply; a reply holds at least one part. A larger sheet takes
    /// several calls.
    static constexpr std::size_t max_reply_bytes = 4'000'000;

    /// Makes a host that has what `holder` has; the holder outlives this object.
    sheet_exchange(host_id self, sheet_spread_options options, sheet_holder& holder,
                   sheet_exchange_functions functions, time_point now);

    /// Takes the number and digest that gossip tells of a peer.
    void on_gossip(host_id peer, std::uint64_t number, std::uint64_t digest,
                   time_point now);

    /// Takes the hosts as known now and asks where it is time. To be called several times
    /// a second.
    void on_tick(std::span<known_host const> hosts, time_point now);

    /// The configuration service's sheet came into force in the holder.
    void on_configuration_sheet();

    /// Answers a peer.
    [[nodiscard]] sheet_reply answer(sheet_request const& request) const;

private:
    // Carries decisions out
    void carry_out(sheet_spread_actions const& actions);
    // Asks a peer for what is missing
    void ask(host_id peer);
    // Takes a peer's reply
    void take(host_id peer, sheet_reply const& reply);
    // Keeps the parts of a reply that the manifest names; whether there were any
    bool keep_parts(sheet_manifest const& manifest, sheet_reply const& reply);
    // The parts of a manifest in its order; empty where one is missing
    [[nodiscard]] std::vector<sheet_part> collect(sheet_manifest const& manifest) const;
    // Puts a whole sheet into force
    void install(sheet_manifest const& manifest, std::vector<sheet_part> parts);
    // Ends the question to a peer
    void end(host_id peer);

    // Decisions
    sheet_spread spread_;
    // Sheet in force
    sheet_holder& holder_;
    // Who this acts through
    sheet_exchange_functions functions_;
    // Parts of a sheet that is not complete yet, by digest
    std::unordered_map<std::string, std::string> received_;
    // Number that the received parts belong to
    std::uint64_t received_number_ = 0;
};

} // namespace marjorampath::serving
