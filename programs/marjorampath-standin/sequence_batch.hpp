#pragma once

#include <programs/marjorampath-standin/sequence.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace marjorampath::standin
{

/// Generates tokens as an engine with continuous batching does: each step adds one token
/// to each running sequence; waiting ones start as soon as there is room, the highest
/// priority first.
class sequence_batch
{
public:
    /// How to construct a sequence_batch.
    struct options
    {
        /// Number of sequences that run at once.
        std::uint32_t concurrency = 8;
        /// Time of one step; zero generates all tokens at once.
        std::chrono::milliseconds token{0};
        /// Time that a prompt takes before the first token.
        std::chrono::milliseconds prefill{0};
    };

    /// Steps run on `context`.
    sequence_batch(boost::asio::io_context& context, options values);

    /// Adds a sequence.
    void add(std::shared_ptr<sequence> const& added);

    /// Ends a sequence that has not ended yet.
    void end(sequence& ended, sequence_end reason);

    /// Ends all sequences of a model, or all where it is empty; returns their number.
    std::size_t end_all(std::string_view model, sequence_end reason);

    /// The sequence of a request that has not ended, or null.
    [[nodiscard]] std::shared_ptr<sequence> find(std::string_view request_id) const;

    /// Number of running sequences.
    [[nodiscard]] std::size_t running() const noexcept
    {
        return running_.size();
    }

    /// Number of waiting sequences.
    [[nodiscard]] std::size_t waiting() const noexcept
    {
        return waiting_.size();
    }

    /// Changes the time of a step.
    void set_token_time(std::chrono::milliseconds time)
    {
        options_.token = time;
    }

private:
    // Starts waiting sequences while there is room
    void admit();

    // Arms the timer of the next step where sequences run
    void arm();

    // Adds one token to each running sequence
    void step();

    // Removes ended sequences
    void sweep();

    // Settings
    options options_;
    // Wakes the next step
    boost::asio::steady_timer timer_;
    // Whether the timer is armed
    bool armed_ = false;
    // Sequences that generate
    std::vector<std::shared_ptr<sequence>> running_;
    // Sequences that wait, the next one first
    std::deque<std::shared_ptr<sequence>> waiting_;
};

} // namespace marjorampath::standin
