#pragma once

#include <marjorampath/core/store_position.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/deployment/adapter_version.hpp>
#include <marjorampath/deployment/deployment.hpp>
#include <marjorampath/deployment/endpoint_announcement.hpp>
#include <marjorampath/deployment/endpoint_history.hpp>
#include <marjorampath/operator_data/operator_position.hpp>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace marjorampath::serving
{

/// The result of listing the endpoints that announce themselves in the store. What
/// arrived before a read failed is valid; other endpoints are unknown then.
struct endpoint_listing
{
    /// Set if the read failed.
    std::error_code error;
    /// Position of the store that the listing reflects.
    store_position position;
    /// When it was read from the store, by this host or by the one that relayed it.
    time_point listed_at;
    /// Since when the host that relayed it knows of no outage of the store; empty if this
    /// host read it.
    std::optional<time_point> available_since;
    std::vector<endpoint_announcement> endpoints;
    /// Keys of entries that are not a valid endpoint.
    std::vector<std::string> ignored;
    /// The listing as text for other hosts; see `read_relayed_endpoints`.
    std::string relayed;
};

/// All that the operator published, or the changes since a position. What arrived before
/// a read failed is valid, but not all that was asked for.
struct operator_update
{
    /// Set if the read failed.
    std::error_code error;
    /// Bytes that were received before it ended.
    std::size_t received = 0;
    /// Whether it is a part of a longer read, which goes on with the next one.
    bool more = false;
    /// Position after which the next watch starts.
    store_position position;
    /// Newest configuration in the update, or null.
    std::shared_ptr<deployment const> configuration;
    /// Announced versions of adapters.
    std::vector<adapter_version> versions;
    /// Keys of items that could not be parsed.
    std::vector<std::string> ignored;
};

/// The result of reading past changes of endpoints' entries.
struct endpoint_history_read
{
    /// Set if the read failed; `history_lost` if the store no longer has all of them.
    std::error_code error;
    endpoint_history history;
};

/// A source of an entry host's view of the platform: the endpoints, the operator's
/// configuration and the adapter versions. It reads them from the store, and writes and
/// parses the copies that hosts relay to each other.
template <class Source>
concept entry_view_source = requires(Source& source, store_position position,
                                     std::uint64_t revision,
                                     std::chrono::milliseconds wait,
                                     operator_position known, std::string const& relayed)
{
    // Reads all endpoints
    {
        source.read_endpoints()
        } -> std::same_as<boost::asio::awaitable<endpoint_listing>>;
    // Reads the changes of endpoints' entries behind a revision, at least up to a
    // position
    {
        source.read_endpoint_history(revision, position)
        } -> std::same_as<boost::asio::awaitable<endpoint_history_read>>;
    // Reads all that the operator has published, or a part of it and the changes
    // meanwhile
    {
        source.read_operator()
        } -> std::same_as<boost::asio::awaitable<operator_update>>;
    // Waits up to `wait` for changes after a position
    {
        source.watch_operator(position, wait)
        } -> std::same_as<boost::asio::awaitable<operator_update>>;
    // Parses another host's `endpoint_listing::relayed`
    {
        source.read_relayed_endpoints(relayed)
        } -> std::same_as<endpoint_listing>;
    // How far this host has the operator's data; of what all updates handed over
    {
        source.operator_data()
        } -> std::same_as<operator_position>;
    // Position of the store up to which this host has all changes of the operator; zero
    // if it has not read everything yet
    {
        source.operator_complete()
        } -> std::same_as<store_position>;
    // The operator's version of the configuration that the store has; empty if it is
    // unknown or not the newest one that this host has
    {
        source.stored_configuration()
        } -> std::same_as<std::optional<std::uint64_t>>;
    // Number of the operator's items whose values are newer than those of the store
    {
        source.operator_kept()
        } -> std::same_as<std::size_t>;
    // Notes that a host with the given last change has all changes up to a position
    source.confirm_operator(position, position);
    // Writes what another host lacks of the operator's data as text for it, and parses
    // that text
    {
        source.relay_operator(known)
        } -> std::same_as<std::string>;
    {
        source.read_relayed_operator(relayed)
        } -> std::same_as<operator_update>;
    // Cancels reads in progress
    source.close();
};

} // namespace marjorampath::serving
