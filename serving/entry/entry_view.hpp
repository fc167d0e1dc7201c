#pragma once

#include <marjorampath/deployment/adapter_version.hpp>
#include <marjorampath/deployment/deployment.hpp>
#include <marjorampath/deployment/endpoint_announcement.hpp>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <concepts>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace marjorampath::serving
{

/// A listing of the endpoints that announce themselves.
struct endpoint_listing
{
    /// Why there is no listing.
    std::error_code error;
    /// Revision that it is as new as.
    std::uint64_t revision = 0;
    /// The endpoints.
    std::vector<endpoint_announcement> endpoints;
    /// Keys of entries that name no endpoint to use.
    std::vector<std::string> ignored;
    /// The listing as another host's source understands it.
    std::string relayed;
};

/// What the operator published, or what changed in it.
struct operator_update
{
    /// Why there is no answer.
    std::error_code error;
    /// Revision to watch from.
    std::uint64_t revision = 0;
    /// Newest configuration among the news, or null.
    std::shared_ptr<deployment const> configuration;
    /// Announced versions of adapters.
    std::vector<adapter_version> versions;
    /// Keys of items that could not be understood.
    std::vector<std::string> ignored;
};

/// Where a host learns of endpoints and of what the operator publishes.
template <class Source>
concept entry_view_source = requires(Source& source, std::uint64_t revision,
                                     std::chrono::milliseconds wait,
                                     std::string const& relayed)
{
    // Reads all endpoints
    {
        source.read_endpoints()
        } -> std::same_as<boost::asio::awaitable<endpoint_listing>>;
    // Reads all that the operator published
    {
        source.read_operator()
        } -> std::same_as<boost::asio::awaitable<operator_update>>;
    // Waits for changes behind a revision
    {
        source.watch_operator(revision, wait)
        } -> std::same_as<boost::asio::awaitable<operator_update>>;
    // Understands another host's `endpoint_listing::relayed`
    {
        source.read_relayed_endpoints(relayed)
        } -> std::same_as<endpoint_listing>;
    // Revision of what is known of the operator
    {
        source.operator_revision()
        } -> std::same_as<std::uint64_t>;
    // What the operator published, for another host that knows it up to a revision, and
    // its reading
    {
        source.relay_operator(revision)
        } -> std::same_as<std::string>;
    {
        source.read_relayed_operator(relayed)
        } -> std::same_as<operator_update>;
    // Ends reads in progress
    source.close();
};

} // namespace marjorampath::serving
