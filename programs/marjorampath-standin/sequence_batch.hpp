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
/// to each running sequence. Waiting sequences start as soon as fewer than `concurrency`
/// run, the highest priority first.
class sequence_batch
{
public:
    /// Settings of a sequence_batch.
    struct options
    {
        /// Maximum number of sequences that run at once.
        std::uint32_t concurrency = 8;
        /// Time of one step; zero generates all tokens at once.
        std::chrono::milliseconds token_time{0};
        /// Time to process a prompt before the first token is generated.
        std::chrono::milliseconds prefill_time{0};
    };

    /// Runs its steps on `context`.
    sequence_batch(boost::asio::io_context& context, options values);

    /// Queues a sequence behind those of the same or a higher priority.
    void add(std::shared_ptr<sequence> const& added);

    /// Ends a sequence; does nothing where it has ended.
    void end(sequence& target, sequence_end reason);

    /// Ends all sequences of `model`, or all sequences where it is empty; returns their
    /// number.
    std::size_t end_all(std::string_view model, sequence_end reason);

    /// The running or waiting sequence of a request, or null.
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

    /// Changes the time of a step, from the next step on.
    void set_token_time(std::chrono::milliseconds time)
    {
        options_.token_time = time;
    }

private:
    // Starts waiting sequences up to the concurrency limit
    void admit();

    // Starts the timer of the next step if sequences run and it is not started yet
    void schedule_step();

    // Adds one token, or all without a token time, to each sequence whose prefill is over
    void step();

    // Removes sequences that ended and starts waiting ones in their place
    void remove_ended();

    // Settings
    options options_;
    // Timer of the next step
    boost::asio::steady_timer timer_;
    // Whether the timer is running
    bool step_scheduled_ = false;
    // Sequences that generate tokens, in no particular order
    std::vector<std::shared_ptr<sequence>> running_;
    // Queue, the next sequence to start first
    std::deque<std::shared_ptr<sequence>> waiting_;
};

} // namespace marjorampath::standin
