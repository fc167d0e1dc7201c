#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/rate_limit/rate_limit_notice.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace marjorampath
{

/// The request rates that endpoints have limited, by the latest of their answers that
/// this host or another one received.
///
/// A limit is in force until the answer to a request that was sent after it was named
/// names none, or until the endpoint's process ends.
class rate_limit_registry
{
public:
    /// Processes what an answer said, which this host received or another host reported.
    /// Returns whether that changed the limit in force.
    bool apply(rate_limit_notice const& notice, time_point now);

    /// Forgets an endpoint whose process has ended.
    void forget(endpoint_id endpoint);

    /// The limit in force, in requests per second; empty for none.
    [[nodiscard]] std::optional<double> limit_of(endpoint_id endpoint) const;

    /// The latest statement of an endpoint's process; one without a rate and of age zero
    /// if none is known.
    [[nodiscard]] rate_limit_notice notice_of(endpoint_id endpoint, time_point now) const;

    /// The latest statements that other hosts may not know: limits in force, and those
    /// that ended at most `max_ended_age` ago.
    [[nodiscard]] std::vector<rate_limit_notice> notices(time_point now,
                                                         duration max_ended_age) const;

private:
    // Latest statement of one endpoint's process
    struct entry
    {
        std::uint64_t started_at_ms = 0;
        std::optional<double> rate;
        // When the answer arrived, or its request was sent if it named no limit
        time_point stated_at;
        // When this host learnt of the present rate, or of its end
        time_point changed_at;
    };

    std::map<endpoint_id, entry> entries_;
};

} // namespace marjorampath
