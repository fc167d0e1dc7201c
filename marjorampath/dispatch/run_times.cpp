#include <marjorampath/dispatch/run_times.hpp>

#include <chrono>

namespace marjorampath
{

namespace
{

// Gains of the mean and of its deviation
constexpr int mean_divisor = 8;
constexpr int deviation_divisor = 4;
// Deviations above the mean within which most requests end
constexpr int deviations = 2;

} // namespace

void run_times::on_finished(service_id service, call_kind kind, duration took)
{
    auto const [found, is_new] =
        estimates_.try_emplace({service, kind}, estimate{took, took / 2});
    if (is_new)
        return;
    auto& known = found->second;
    auto const error = took - known.mean;
    known.deviation += (std::chrono::abs(error) - known.deviation) / deviation_divisor;
    known.mean += error / mean_divisor;
}

duration run_times::expected(service_id service, call_kind kind, duration unknown) const
{
    auto const found = estimates_.find({service, kind});
    if (found == estimates_.end())
        return unknown;
    auto const& known = found->second;
    return kind == call_kind::continuable_stream
               ? known.mean
               : known.mean + deviations * known.deviation;
}

} // namespace marjorampath
