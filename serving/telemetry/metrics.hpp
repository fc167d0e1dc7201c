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

/// What a metric measures.
enum class metric_kind : std::uint8_t
{
    /// A number that only rises.
    counter,
    /// A number that rises and falls; shards add up.
    gauge,
    /// A distribution of times, in seconds.
    latency
};

/// The name and meaning of a metric. Define one as an `inline constexpr` variable beside
/// the code that counts it; names are `marjorampath_…` with the unit at the end.
struct metric
{
    /// Name in the Prometheus exposition.
    std::string_view name;
    /// One sentence for its `HELP` line.
    std::string_view help;
    /// What it measures.
    metric_kind kind = metric_kind::counter;
};

/// A number that one thread changes and any thread reads.
class metric_number
{
public:
    /// Adds to the number; only the thread that owns the shard may call it.
    void add(double amount = 1) noexcept
    {
        value_.store(value_.load(std::memory_order_relaxed) + amount,
                     std::memory_order_relaxed);
    }

    /// Sets the number; only the thread that owns the shard may call it.
    void set(double value) noexcept
    {
        value_.store(value, std::memory_order_relaxed);
    }

    /// The number.
    [[nodiscard]] double value() const noexcept
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    // Written by one thread
    std::atomic<double> value_{0};
};

/// A distribution of times that one thread records and any thread reads. Its lock is
/// contended only while a scrape copies it.
class metric_latency
{
public:
    /// Records a time in seconds.
    void record(double seconds);

    /// A copy of the statistics.
    [[nodiscard]] latency_statistics copy() const;

private:
    // Guards the statistics against a scrape
    mutable std::mutex mutex_;
    // Recorded so far
    latency_statistics statistics_;
};

/// The metrics of one thread. References that it gives stay valid as long as it lives;
/// keep them where a metric is counted often.
class metrics_shard
{
public:
    /// The counter or gauge of a metric and a set of labels such as
    /// `service="portal",outcome="ran"`.
    metric_number& number(metric const& what, std::string_view labels = {});

    /// The distribution of a metric and a set of labels.
    metric_latency& latency(metric const& what, std::string_view labels = {});

private:
    friend class metrics_registry;

    /// Name and labels of a series.
    struct series_key
    {
        // Name of the metric
        std::string name;
        // Labels without braces
        std::string labels;
        auto operator<=>(series_key const&) const = default;
    };

    /// One series.
    struct series
    {
        // The metric
        metric what;
        // Value of a counter or gauge
        metric_number number;
        // Value of a distribution; null for others
        std::unique_ptr<metric_latency> latency;
    };

    // The series of a metric and labels, made where it is missing
    series& find(metric const& what, std::string_view labels);

    // Guards the map, not the values
    mutable std::mutex mutex_;
    // Series by name and labels
    std::map<series_key, series> series_;
};

/// All metrics of a process: one shard for each thread, merged when they are scraped.
class metrics_registry
{
public:
    /// Makes a shard for a thread; it lives as long as the registry.
    metrics_shard& make_shard();

    /// All metrics in the Prometheus text exposition format, version 0.0.4.
    [[nodiscard]] std::string exposition() const;

private:
    // Guards the list
    mutable std::mutex mutex_;
    // One for each thread
    std::vector<std::unique_ptr<metrics_shard>> shards_;
};

/// Formats one label, with the value escaped: `name="value"`.
std::string metric_label(std::string_view name, std::string_view value);

} // namespace marjorampath::serving
