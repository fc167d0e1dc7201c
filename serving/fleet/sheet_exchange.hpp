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

/// Functions through which a `sheet_exchange` acts.
struct sheet_exchange_functions
{
    /// Sends a sheet request to a host.
    std::function<void(host_id, sheet_request const&, call_handler<sheet_reply>)> call;
    /// Starts (true) or stops (false) watching the configuration service.
    std::function<void(bool)> watch;
    /// Called with each sheet that comes into force.
    std::function<void(std::shared_ptr<sheet const>)> on_sheet;
};

/// Fetches the latest sheet from peers and serves this host's sheet to them: only the
/// parts that the requester lacks, in replies of bounded size. `sheet_spread` decides
/// when and whom to request. Used on the control thread only.
class sheet_exchange
{
public:
    /// Largest number of bytes of parts in one reply, unless a single part is larger. A
    /// larger sheet needs several calls.
    static constexpr std::size_t max_reply_bytes = 4'000'000;

    /// Starts with the sheet of `holder`, which outlives this object.
    sheet_exchange(host_id self, sheet_spread_options options, sheet_holder& holder,
                   sheet_exchange_functions functions, time_point now);

    /// Handles gossip about the number and digest of a peer's sheet.
    void on_gossip(host_id peer, std::uint64_t number, std::uint64_t digest,
                   time_point now);

    /// Takes the currently known hosts and sends the requests that are due. Call several
    /// times a second.
    void on_tick(std::span<known_host const> hosts, time_point now);

    /// A sheet from the configuration service came into force in the holder.
    void on_configuration_sheet();

    /// Answers the request of a peer; without manifest and parts if this host has no
    /// newer sheet.
    [[nodiscard]] sheet_reply answer(sheet_request const& request) const;

private:
    // Carries out the actions that `sheet_spread` decided
    void carry_out(sheet_spread_actions const& actions);
    // Requests the missing parts from a peer
    void request_sheet(host_id peer);
    // Handles the reply of a peer
    void on_reply(host_id peer, sheet_reply const& reply);
    // Stores the parts of a reply that the manifest lists; whether any were new
    bool store_parts(sheet_manifest const& manifest, sheet_reply const& reply);
    // The parts of a manifest in its order; empty if one is missing
    [[nodiscard]] std::vector<sheet_part>
    assemble_parts(sheet_manifest const& manifest) const;
    // Offers a complete sheet to the holder, to bring it into force
    void install(sheet_manifest const& manifest, std::vector<sheet_part> parts);
    // Ends the request to a peer
    void end_request(host_id peer);

    // Decides when and from which peer to request the sheet
    sheet_spread spread_;
    // Holds the sheet in force
    sheet_holder& holder_;
    // Functions through which this object acts
    sheet_exchange_functions functions_;
    // Received parts of an incomplete sheet, by digest
    std::unordered_map<std::string, std::string> received_parts_;
    // Number of the sheet that the received parts belong to
    std::uint64_t received_sheet_number_ = 0;
};

} // namespace marjorampath::serving
