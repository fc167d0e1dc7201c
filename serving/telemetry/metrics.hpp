#pragma once

#include <serving/telemetry/latency_statistics.hpp>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace marjorampath::serving
{

/// Kind of a metric.
enum class metric_kind : std::uint8_t
{
    /// A value that only increases.
    counter,
    /// A value that goes up and down; the values of all shards are summed.
    gauge,
    /// A histogram of durations in seconds.
    latency
};

/// Definition of a metric. Define one as an `inline constexpr` variable next to the code
/// that updates it. Names start with `marjorampath_` and end with the unit.
struct metric
{
    /// Name in the Prometheus exposition format.
    std::string_view name;
    /// One sentence for the `HELP` line.
    std::string_view help;
    /// Kind of metric.
    metric_kind kind = metric_kind::counter;
};

/// A counter or gauge value that one thread writes and any thread may read.
class metric_number
{
public:
    /// Adds to the value. Call only from the thread that owns the shard.
    void add(double amount = 1) noexcept
    {
        value_.store(value_.load(std::memory_order_relaxed) + amount,
                     std::memory_order_relaxed);
    }

    /// Sets the value. Call only from the thread that owns the shard.
    void set(double value) noexcept
    {
        value_.store(value, std::memory_order_relaxed);
    }

    /// The current value; callable from any thread.
    [[nodiscard]] double value() const noexcept
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    // Has a single writer, so add() needs no atomic read-modify-write
    std::atomic<double> value_{0};
};

/// A latency histogram that one thread records into and any thread may read. Its mutex is
/// contended only while a scrape copies the statistics.
class metric_latency
{
public:
    /// Records a duration in seconds.
    void record(double seconds);

    /// A snapshot of the statistics.
    [[nodiscard]] latency_statistics copy() const;

private:
    // Guards statistics_ against a concurrent scrape
    mutable std::mutex mutex_;
    // All durations recorded so far
    latency_statistics statistics_;
};

/// The metrics of one thread. Returned references stay valid for the lifetime of the
/// shard; keep them where a metric is updated often, because each call looks the series
/// up.
class metrics_shard
{
public:
    /// The value of a counter or gauge for a set of labels such as
    /// `service="portal",outcome="ran"`; creates the series if needed.
    metric_number& number(metric const& definition, std::string_view labels = {});

    /// The histogram of a latency metric for a set of labels; creates the series if
    /// needed.
    metric_latency& latency(metric const& definition, std::string_view labels = {});

private:
    friend class metrics_registry;

    /// Identifies a series.
    struct series_key
    {
        // Name of the metric
        std::string name;
        // Labels without the enclosing braces
        std::string labels;
        auto operator<=>(series_key const&) const = default;
    };

    /// One combination of a metric and its labels.
    struct series
    {
        // Definition of the metric
        metric definition;
        // Value of a counter or gauge
        metric_number number;
        // Histogram of a latency metric; null for counters and gauges
        std::unique_ptr<metric_latency> latency;
    };

    // The series of a metric and labels; created if it does not exist
    series& find_or_create(metric const& definition, std::string_view labels);

    // Guards the map, not the values, which synchronise themselves
    mutable std::mutex mutex_;
    // Series by name and labels
    std::map<series_key, series> series_;
};

/// All metrics of a process: one shard per thread, merged when scraped.
class metrics_registry
{
public:
    /// Creates a shard for a thread. The registry owns it.
    metrics_shard& make_shard();

    /// All metrics in the Prometheus text exposition format, version 0.0.4.
    [[nodiscard]] std::string exposition() const;

private:
    // Guards the list of shards
    mutable std::mutex mutex_;
    // One per thread
    std::vector<std::unique_ptr<metrics_shard>> shards_;
};

/// Formats one label, with the value escaped: `name="value"`.
std::string metric_label(std::string_view name, std::string_view value);

} // namespace marjorampath::serving
