#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/deployment/call_kind.hpp>

#include <map>
#include <utility>

namespace marjorampath
{

/// How long requests take from their arrival to the end of their answer, by service and
/// kind: mean and mean deviation, smoothed as TCP smooths round trip times (RFC 6298).
class run_times
{
public:
    /// Notes the time that a request took which was answered by an endpoint.
    void on_finished(service_id service, call_kind kind, duration took);

    /// Time within which most requests end. A stream that callers can continue elsewhere
    /// loses nothing if it is cut, so that for those it is the mean. `unknown` where no
    /// request has ended yet.
    [[nodiscard]] duration expected(service_id service, call_kind kind,
                                    duration unknown) const;

private:
    struct estimate
    {
        duration mean{0};
        duration deviation{0};
    };

    std::map<std::pair<service_id, call_kind>, estimate> estimates_;
};

} // namespace marjorampath
