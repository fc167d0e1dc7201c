#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/reachability/reach_options.hpp>

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace marjorampath
{

/// Finds out whether this host can reach any endpoint of a service.
///
/// Failed attempts and silence raise a doubt, and probes over new connections decide:
/// answers on connections that are already open do not show that others can be opened.
class reach_monitor
{
public:
    /// Creates a monitor for which all services are reached.
    explicit reach_monitor(reach_options options);

    /// Notes that a request was sent to an endpoint of a service.
    void on_sent(service_id service, time_point now);

    /// Notes that bytes of an answer came from an endpoint of a service.
    void on_answer(service_id service);

    /// Notes that an attempt got no byte from an endpoint of a service: it could not
    /// connect, its connection broke, or it was abandoned.
    void on_failed(service_id service, time_point now);

    /// The services whose endpoints must be probed now; `on_probed` ends each probe.
    std::vector<service_id> due_probes(time_point now);

    /// Notes whether any of the probed endpoints answered on a new connection. Returns
    /// whether that changed `is_cut`.
    bool on_probed(service_id service, bool reached, time_point now);

    /// Whether this host reaches no endpoint of a service.
    [[nodiscard]] bool is_cut(service_id service) const;

    /// Whether this host may not reach the endpoints of a service: it is cut, or recent
    /// failures have not been followed by a probe.
    [[nodiscard]] bool is_doubtful(service_id service, time_point now) const;

    /// The services of which this host reaches no endpoint.
    [[nodiscard]] std::vector<service_id> cut_services() const;

private:
    struct service_state
    {
        // Times of the failures since the last probe that was answered
        std::deque<time_point> failures;
        // When the first of the requests was sent that wait without any answer since
        std::optional<time_point> waiting_since;
        time_point next_probe_at;
        bool probing = false;
        bool cut = false;
    };

    // Number of failures that still count
    [[nodiscard]] std::size_t recent_failures(service_state const& state,
                                              time_point now) const;

    reach_options options_;
    std::map<service_id, service_state> services_;
};

} // namespace marjorampath
