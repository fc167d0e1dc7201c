#pragma once

#include "harness.hpp"
#include <atomic>
#include <cstdint>
#include <mutex>
#include <set>
#include <string>
#include <thread>

namespace review
{

/// The name of the model that all engines hold.
inline constexpr char const* model_name = "m0";

/// Operator's configuration with a streaming route `/streams/` to the model service `lm`
/// and a plain one `/plain/`, type `unsafe`, to the service `portal`.
std::string configuration(std::uint64_t version);

/// Host name of the routes.
inline constexpr char const* route_host = "case.example";

/// A model engine without adapters: a stand-in that streams numbered events with the
/// version of its software, and keeps the prompts that it ran.
class engine
{
public:
    struct options
    {
        std::string id;
        std::string software = "v1";
        std::string zone = "zone-a";
        /// Time between two events.
        std::int64_t event_ms = 200;
    };

    /// Starts the engine and announces it in the store.
    engine(fleet& host, record_file& record, std::string const& ip, options values);
    ~engine();
    engine(engine const&) = delete;
    engine& operator=(engine const&) = delete;

    /// Removes the entry from the store; the engine goes on serving.
    void retire();

    /// Ends the engine: all its connections break.
    void stop();

    /// Start, in milliseconds of the steady clock.
    [[nodiscard]] std::int64_t started_at() const noexcept
    {
        return started_at_;
    }

    /// Software version.
    [[nodiscard]] std::string const& software() const noexcept
    {
        return options_.software;
    }

private:
    void answer(http_request const& request, responder& reply);
    void stream(http_request const& request, responder& reply);
    [[nodiscard]] std::string description() const;
    [[nodiscard]] std::string kept_parts();
    void announce();

    fleet* host_;
    record_file* record_;
    options options_;
    std::int64_t started_at_ = now_ms();
    std::int64_t born_ = wall_ms();
    std::mutex mutex_;
    std::set<std::string> kept_;
    std::atomic<bool> announced_ = true;
    std::atomic<bool> stopped_ = false;
    http_server server_;
    std::thread heartbeat_;
};

} // namespace review
