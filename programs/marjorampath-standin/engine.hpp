#pragma once

#include <programs/marjorampath-standin/adapter_slots.hpp>
#include <programs/marjorampath-standin/cache_events.hpp>
#include <programs/marjorampath-standin/http_server.hpp>
#include <programs/marjorampath-standin/records.hpp>
#include <programs/marjorampath-standin/sequence_batch.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace marjorampath::standin
{

/// A model engine that speaks the interface of docs/INTERFACES.md and generates text that
/// can be checked. One thread.
class engine
{
public:
    /// How to construct an engine.
    struct options
    {
        /// Number of adapter slots.
        std::size_t slots = 4;
        /// Pace of the tokens.
        sequence_batch::options batch;
        /// Where the weight store listens; without one a load takes `load_time`.
        std::optional<boost::asio::ip::tcp::endpoint> store;
        /// Time of a load without a store.
        std::chrono::milliseconds load_time{0};
        /// Time after which a report of the load is renewed.
        std::chrono::milliseconds report_lag{0};
        /// Time between a crash and the next start.
        std::chrono::milliseconds dead_time{1000};
        /// Whether old fencing numbers are refused.
        bool checks_fence = true;
        /// A prompt that contains it crashes the engine; none where empty.
        std::string crash_on;
        /// Prefix cache events.
        cache_events::options cache;
    };

    /// Starts empty with a boot number from the wall clock.
    engine(boost::asio::io_context& context, options values);

    /// The server that a crash stops and starts again; to be set before the first
    /// request.
    void attach(http_server& server)
    {
        server_ = &server;
    }

    /// Answers one request.
    boost::asio::awaitable<void> handle(http_exchange& exchange);

private:
    // What is remembered of a request for its resumption
    struct remembered
    {
        generated_text text;
        std::uint32_t total = 0;
    };

    boost::asio::awaitable<void> complete(http_exchange& exchange, bool chat);
    boost::asio::awaitable<void>
    answer_whole(http_exchange& exchange, std::shared_ptr<sequence> running, bool chat);
    boost::asio::awaitable<void>
    answer_stream(http_exchange& exchange, std::shared_ptr<sequence> running, bool chat);
    boost::asio::awaitable<void> load_adapter(http_exchange& exchange);
    boost::asio::awaitable<void> unload_adapter(http_exchange& exchange);
    boost::asio::awaitable<bool> fetch_weights(std::string const& name);

    // Makes the sequence of a request; null and a status where it is refused
    std::shared_ptr<sequence> make_sequence(http_exchange const& exchange,
                                            boost::json::object const& body, bool chat,
                                            unsigned& status);
    // Remembers a request for its resumption
    void remember(sequence const& each);
    // Checks the fencing number of an order; whether it may be carried out
    bool passes_fence(http_exchange const& exchange);
    // Loses everything and closes all connections; starts again after the dead time
    void crash();
    void set(boost::json::object const& values);
    void record(sequence const& ended);
    void record_order(char const* kind, std::string const& name, unsigned status,
                      http_exchange const& exchange);
    std::string load_report();
    std::string model_list() const;
    std::string exchange_cache(http_exchange const& exchange, bool import);

    // Executor of everything
    boost::asio::io_context& context_;
    // Settings
    options options_;
    // Server of the requests
    http_server* server_ = nullptr;
    // Adapters
    adapter_slots slots_;
    // Running requests
    sequence_batch batch_;
    // Prefix cache events
    cache_events cache_;
    // What ran
    records records_;
    // Rises with each start
    std::uint64_t boot_;
    // Highest fencing number seen
    std::uint64_t fencing_token_ = 0;
    // Whether new requests are refused
    bool draining_ = false;
    // Number of next loads that fail
    int load_failures_ = 0;
    // Number of next streams that are cut
    int cut_streams_ = 0;
    // Tokens after which a stream is cut
    std::uint32_t cut_after_ = 3;
    // Number of next whole answers whose connection is closed
    int cut_answers_ = 0;
    // Requests that can be resumed
    std::unordered_map<std::string, remembered> memory_;
    // Their order
    std::deque<std::string> memory_order_;
    // Report that is shown until it is renewed
    std::string report_;
    // When it was made
    std::chrono::steady_clock::time_point reported_at_;
    // Restarts after a crash
    boost::asio::steady_timer restart_timer_;
};

} // namespace marjorampath::standin
