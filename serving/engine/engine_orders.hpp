#pragma once

#include <marjorampath/core/error_kind.hpp>
#include <marjorampath/core/time.hpp>
#include <serving/endpoint/directory.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace marjorampath::serving
{

/// Where the fencing numbers of orders come from.
struct fencing_source
{
    /// The number to write with the next order, asked for right before it is written;
    /// nothing where this host may not give orders now.
    std::function<std::optional<std::uint64_t>()> current;
    /// An engine refused an order because it has seen this higher number.
    std::function<void(std::uint64_t)> on_refused;
};

/// What is ordered of an engine.
enum class adapter_order
{
    /// Load an adapter version.
    load,
    /// Unload an adapter version.
    unload
};

/// One order.
struct engine_order
{
    /// Engine that it goes to.
    directory_entry endpoint;
    /// What is ordered.
    adapter_order kind = adapter_order::load;
    /// Name `ADAPTER@VERSION`.
    std::string qualified_adapter;
};

/// How orders are given.
struct engine_order_options
{
    /// Time after which an order has failed.
    duration timeout = std::chrono::seconds(30);
    /// What comes before `ADAPTER@VERSION` in an adapter's path in the weight store.
    std::string adapter_path = "/adapters/";
};

/// Gives an order and waits for its result: `none` where the engine carried it out or had
/// done so before, `owner_unreachable` where this host may not give orders, `load_failed`
/// where the engine could not load, `endpoint_refused` where it refused the order,
/// `endpoint_lost` where it did not answer.
boost::asio::awaitable<error_kind> give_order(engine_order order,
                                              engine_order_options options,
                                              fencing_source const& fencing);

} // namespace marjorampath::serving
