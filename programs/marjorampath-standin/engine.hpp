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

/// Stand-in for a model engine: implements the interface of docs/INTERFACES.md and
/// generates text that callers can verify. Not thread-safe; runs on one thread.
class engine
{
public:
    /// Settings of an engine.
    struct options
    {
        /// Number of adapter slots.
        std::size_t slots = 4;
        /// Concurrency and speed of the token generation.
        sequence_batch::options batch;
        /// Address of the weight store; without one a load takes `load_time`.
        std::optional<boost::asio::ip::tcp::endpoint> store;
        /// Duration of a load without a weight store.
        std::chrono::milliseconds load_time{0};
        /// Time for which a load report is served from the cache.
        std::chrono::milliseconds report_lag{0};
        /// Time from a crash to the restart.
        std::chrono::milliseconds restart_delay{1000};
        /// Whether orders with an old fencing token are refused.
        bool checks_fence = true;
        /// A request whose body contains this text crashes the engine; empty for none.
        std::string crash_on;
        /// Delay and loss of the prefix cache events.
        cache_events::options cache;
    };

    /// Starts without adapters; the boot number is taken from the wall clock.
    engine(boost::asio::io_context& context, options values);

    /// Sets the server that a crash stops and restarts. Must be called before the first
    /// request; `server` must outlive the engine.
    void attach(http_server& server)
    {
        server_ = &server;
    }

    /// Answers one request.
    boost::asio::awaitable<void> handle(http_exchange& exchange);

private:
    // State that a request needs to be resumed
    struct resumable_request
    {
        generated_text text;
        // Number of tokens to generate
        std::uint32_t total = 0;
    };

    // Handles a text or chat completion
    boost::asio::awaitable<void> handle_completion(http_exchange& exchange, bool chat);
    boost::asio::awaitable<void>
    answer_whole(http_exchange& exchange, std::shared_ptr<sequence> running, bool chat);
    boost::asio::awaitable<void>
    answer_stream(http_exchange& exchange, std::shared_ptr<sequence> running, bool chat);
    boost::asio::awaitable<void> load_adapter(http_exchange& exchange);
    boost::asio::awaitable<void> unload_adapter(http_exchange& exchange);
    // Loads the weights from the store, or waits for `load_time`; false on failure
    boost::asio::awaitable<bool> fetch_weights(std::string const& name);

    // Creates the sequence of a request; null where it is refused, with the HTTP status
    // in `status`
    std::shared_ptr<sequence> make_sequence(http_exchange const& exchange,
                                            boost::json::object const& body, bool chat,
                                            unsigned& status);
    // Stores the state that a request needs to be resumed; removes the oldest beyond the
    // limit
    void store_resumable(sequence const& each);
    // Checks and records the fencing token of an order; false where it is old
    bool accept_fencing_token(http_exchange const& exchange);
    // Discards all state and closes all connections; restarts after the restart delay
    void crash();
    // Applies the members of a request to `/standin/set`
    void apply_settings(boost::json::object const& values);
    // Appends the outcome of a sequence to the records
    void record(sequence const& ended);
    // Appends the result of an order to the records
    void record_order(char const* kind, std::string const& name, unsigned status,
                      http_exchange const& exchange);
    // Body of `GET /load`, renewed when older than the report lag
    std::string current_load_report();
    // Body of `GET /v1/models`
    std::string model_list() const;
    // Exports or imports the cached state of a request; empty where it is not known
    std::string transfer_cache(http_exchange const& exchange, bool import);

    // Runs all timers and coroutines
    boost::asio::io_context& context_;
    // Settings
    options options_;
    // Server that receives the requests; not owned
    http_server* server_ = nullptr;
    // Adapter slots
    adapter_slots slots_;
    // Running and waiting requests
    sequence_batch batch_;
    // Prefix cache events
    cache_events cache_;
    // What the engine did, for `GET /records`
    records records_;
    // Rises with each start of the process and each restart after a crash
    std::uint64_t boot_number_;
    // Highest fencing token of an order since the start
    std::uint64_t fencing_token_ = 0;
    // Whether new requests are refused
    bool draining_ = false;
    // Number of upcoming loads that fail
    int load_failures_ = 0;
    // Number of upcoming streams that are cut off
    int cut_streams_ = 0;
    // Number of tokens after which a stream is cut off
    std::uint32_t cut_after_ = 3;
    // Number of upcoming whole answers in place of which the connection is closed
    int cut_answers_ = 0;
    // Requests that can be resumed, by request id
    std::unordered_map<std::string, resumable_request> resumable_requests_;
    // Ids of these requests, the oldest first
    std::deque<std::string> resumable_order_;
    // Last load report
    std::string cached_report_;
    // Time of the last load report
    std::chrono::steady_clock::time_point report_cached_at_;
    // Timer of the restart after a crash
    boost::asio::steady_timer restart_timer_;
};

} // namespace marjorampath::standin
