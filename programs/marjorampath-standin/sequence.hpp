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
    /// It has not ended.
    none,
    /// All tokens were generated.
    finished,
    /// The caller aborted it or closed its connection.
    cancelled,
    /// The stand-in cut it by a switch.
    cut,
    /// The engine crashed.
    crashed,
    /// Its adapter was unloaded while it ran.
    unloaded
};

/// One request that the engine runs or has waiting.
struct sequence
{
    /// Nothing generated yet.
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
    /// Higher runs first.
    int priority = 0;
    /// When the prompt has been read.
    std::chrono::steady_clock::time_point ready_at;
    /// Whether it ever ran.
    bool started = false;
    /// How it ended.
    sequence_end end = sequence_end::none;
    /// Cancelled whenever there is more to write.
    boost::asio::steady_timer changed;
};

} // namespace marjorampath::standin
