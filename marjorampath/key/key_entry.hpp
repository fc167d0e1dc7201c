#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/key/key_action.hpp>
#include <marjorampath/key/key_memory.hpp>
#include <marjorampath/key/key_options.hpp>

#include <map>

namespace marjorampath
{

/// An entry host's side of idempotency keys: it asks the home before a request is sent
/// and reports how the request ended until the home took the report.
class key_entry
{
public:
    /// Makes an entry host without requests. `memory` is this host's and must outlive it.
    key_entry(host_id self, key_options options, key_memory& memory);

    /// Starts to ask about a request. `begin.entry` is set here.
    void begin(time_point now, key_begin begin, host_id home, key_actions& actions);

    /// The home of a shard, as known now. Where it changes, open questions and reports go
    /// to the new one.
    void set_home(time_point now, resource_id shard, host_id home, key_actions& actions);

    /// Takes a home's answer.
    void on_begin_reply(time_point now, key_begin_reply const& reply,
                        key_actions& actions);

    /// Gives up a request that has no decision yet; it will not run. False where it was
    /// decided already.
    bool give_up(time_point now, request_id request, key_actions& actions);

    /// Reports how a request that was told to run ended.
    void complete(time_point now, request_id request, key_state state, std::string answer,
                  key_actions& actions);

    /// Takes the home's acknowledgement of a report.
    void on_complete_reply(key_complete_reply const& reply);

    /// Sends again what was not answered.
    void on_tick(time_point now, key_actions& actions);

    /// Number of requests with an open question or report.
    [[nodiscard]] std::size_t open() const noexcept
    {
        return attempts_.size();
    }

private:
    /// Where an attempt is.
    enum class stage
    {
        /// The home was asked.
        asking,
        /// It runs.
        running,
        /// Its end is being reported.
        reporting
    };

    struct attempt
    {
        // The question
        key_begin begin;
        // Where the attempt is
        stage now_at = stage::asking;
        // Home that is asked
        host_id home;
        // Number of the attempt, from the home
        std::uint32_t number = 0;
        // End that is reported
        key_state state = key_state::unknown;
        // Answer that is reported
        std::string answer;
        // Time of the next message
        time_point resend_at;
        // Time at which the report is given up
        time_point expires;
    };

    // Sends the question or the report
    void send(time_point now, attempt& known, key_actions& actions) const;
    // Starts to report an end
    void report(time_point now, attempt& known, key_state state, std::string answer,
                key_actions& actions);

    // This host
    host_id self_;
    // Settings
    key_options options_;
    // Records of this host
    key_memory& memory_;
    // Attempts by request
    std::map<request_id, attempt> attempts_;
};

} // namespace marjorampath
