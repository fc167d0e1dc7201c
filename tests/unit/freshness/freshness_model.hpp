#pragma once

#include <marjorampath/freshness/configuration_freshness.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace marjorampath::test
{

/// Hosts, a store and an operator in virtual time. Each version of the configuration
/// revokes the key of its number; the model checks that no host accepts a key whose
/// request was sent later than the bound behind the revocation.
class freshness_model
{
public:
    /// A way to take the proof that does not hold.
    enum class defect : std::uint8_t
    {
        none,
        /// The time at which the store's answer arrived.
        time_of_answer,
        /// What another host said of its age, without the time that the message took.
        plain_age
    };

    /// How to construct a freshness_model.
    struct options
    {
        std::uint32_t seed = 1;
        bool faults = true;
        defect used = defect::none;
        duration length = std::chrono::seconds(20);
    };

    explicit freshness_model(options values);

    /// Plays the history; returns the breaches, one line each.
    std::vector<std::string> run();

    /// Requests that were refused as unconfirmed, and those that were accepted.
    [[nodiscard]] std::size_t refused() const noexcept
    {
        return refused_;
    }
    [[nodiscard]] std::size_t accepted() const noexcept
    {
        return accepted_;
    }

private:
    struct host
    {
        configuration_freshness freshness{{}};
        std::uint64_t version = 0;
        // Rises with each restart; messages to an earlier process are lost
        unsigned incarnation = 0;
        time_point frozen_until;
        time_point store_cut_until;
        time_point peers_cut_until;
        bool reading = false;
    };

    struct stored
    {
        std::uint64_t version = 1;
        store_position position{.era = 0, .revision = 1};
    };

    // Schedules an action
    void after(duration delay, std::function<void()> action);
    // Schedules an action of a host's process: behind its suspension, and not if the
    // process has ended meanwhile
    void at_host(std::size_t index, duration delay, std::function<void(host&)> action);
    // Number below a bound
    std::uint32_t draw(std::uint32_t bound);
    // Time that a message takes: short, or now and then seconds
    duration message_delay();

    void start_process(host& each);
    void tick(std::size_t index);
    void read_store(std::size_t index, bool waits);
    void answer_read(std::size_t index, time_point asked_at);
    void list_endpoints(std::size_t index);
    void ask_peer(std::size_t index, freshness_query query);
    void take_reply(host& to, freshness_reply reply);
    void copy_version(std::size_t index);
    void send_request();
    void publish();
    void inject_fault();
    void restore_store();

    options options_;
    std::mt19937 random_;
    time_point now_{std::chrono::seconds(1'000)};
    std::multimap<time_point, std::function<void()>> due_;
    std::vector<host> hosts_;
    stored store_;
    stored copy_;
    // Newest version of the operator, and when each was acknowledged
    std::uint64_t newest_ = 1;
    std::map<std::uint64_t, time_point> acknowledged_;
    std::size_t refused_ = 0;
    std::size_t accepted_ = 0;
    std::vector<std::string> breaches_;
};

} // namespace marjorampath::test
