#pragma once

#include <programs/marjorampath-standin/generated_text.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <string>

namespace marjorampath::standin
{

/// How a sequence ended.
enum class sequence_end
{
    /// Still running or waiting.
    none,
    /// All tokens were generated.
    finished,
    /// The caller aborted it or closed its connection.
    cancelled,
    /// The stand-in was set to cut it off before its end.
    cut,
    /// The engine crashed.
    crashed,
    /// Its adapter was unloaded while it ran.
    unloaded
};

/// A request that the engine is running or keeps in its queue.
struct sequence
{
    /// Creates a sequence without generated tokens.
    explicit sequence(boost::asio::io_context& context)
        : changed(context, boost::asio::steady_timer::time_point::max())
    {
    }

    /// Value of `X-Request-Id`.
    std::string request_id;
    /// Value of `Idempotency-Key`.
    std::string key;
    /// Digest of the request's body.
    std::uint64_t body_digest = 0;
    /// Text to generate.
    generated_text text;
    /// Number of tokens to generate.
    std::uint32_t total = 0;
    /// Number of tokens generated.
    std::uint32_t produced = 0;
    /// Higher values run first.
    int priority = 0;
    /// End of the prefill, after which tokens are generated.
    std::chrono::steady_clock::time_point ready_at;
    /// Whether it has left the queue.
    bool started = false;
    /// How it ended, or `none`.
    sequence_end end = sequence_end::none;
    /// Never expires; cancelled to wake its waiter when tokens were added or it ended.
    boost::asio::steady_timer changed;
};

} // namespace marjorampath::standin
