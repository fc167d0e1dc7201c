#include <serving/telemetry/metrics.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>

namespace marjorampath::serving
{

namespace
{

/// One series, merged over all shards.
struct merged_series
{
    metric definition;
    double number = 0;
    std::uint64_t count = 0;
    double sum = 0;
    latency_bucket_counts buckets{};
};

std::string_view type_name(metric_kind kind)
{
    constexpr std::array<std::string_view, 3> names{"counter", "gauge", "histogram"};
    return names[static_cast<std::size_t>(kind)];
}

void merge(merged_series& into, latency_statistics const& statistics)
{
    into.count += statistics.count();
    into.sum += statistics.sum();
    for (std::size_t index = 0; index < into.buckets.size(); ++index)
        into.buckets[index] += statistics.buckets()[index];
}

std::string format_label_set(std::string_view labels)
{
    return labels.empty() ? std::string() : fmt::format("{{{}}}", labels);
}

void append_histogram(std::string& page, std::string_view name, std::string_view labels,
                      merged_series const& series)
{
    auto const separator = labels.empty() ? "" : ",";
    std::uint64_t cumulative = 0;
    for (std::size_t index = 0; index < series.buckets.size(); ++index)
    {
        cumulative += series.buckets[index];
        auto const bound = index < latency_bounds.size()
                               ? fmt::format("{}", latency_bounds[index])
                               : std::string("+Inf");
        page += fmt::format("{}_bucket{{{}{}le=\"{}\"}} {}\n", name, labels, separator,
                            bound, cumulative);
    }
    page += fmt::format("{}_sum{} {}\n", name, format_label_set(labels), series.sum);
    page += fmt::format("{}_count{} {}\n", name, format_label_set(labels), series.count);
}

} // namespace

void metric_latency::record(double seconds)
{
    std::lock_guard const lock(mutex_);
    statistics_.record(seconds);
}

latency_statistics metric_latency::copy() const
{
    std::lock_guard const lock(mutex_);
    return statistics_;
}

metric_number& metrics_shard::number(metric const& definition, std::string_view labels)
{
    return find_or_create(definition, labels).number;
}

metric_latency& metrics_shard::latency(metric const& definition, std::string_view labels)
{
    return *find_or_create(definition, labels).latency;
}

metrics_shard::series& metrics_shard::find_or_create(metric const& definition,
                                                     std::string_view labels)
{
    std::lock_guard const lock(mutex_);
    auto const [position, added] = series_.try_emplace(
        series_key{std::string(definition.name), std::string(labels)});
    auto& found = position->second;
    if (!added)
        return found;
    found.definition = definition;
    if (definition.kind == metric_kind::latency)
        found.latency = std::make_unique<metric_latency>();
    return found;
}

metrics_shard& metrics_registry::make_shard()
{
    std::lock_guard const lock(mutex_);
    return *shards_.emplace_back(std::make_unique<metrics_shard>());
}

std::string metrics_registry::exposition() const
{
    // Merge the shards; sorted by name, the series of one metric are adjacent, as the
    // exposition format requires
    std::map<metrics_shard::series_key, merged_series> merged;
    {
        std::lock_guard const lock(mutex_);
        for (auto const& shard : shards_)
        {
            std::lock_guard const shard_lock(shard->mutex_);
            for (auto const& [key, series] : shard->series_)
            {
                auto& into = merged[key];
                into.definition = series.definition;
                into.number += series.number.value();
                if (series.latency)
                    merge(into, series.latency->copy());
            }
        }
    }

    std::string page;
    std::string_view last_name;
    for (auto const& [key, series] : merged)
    {
        if (key.name != last_name)
        {
            last_name = key.name;
            page += fmt::format("# HELP {} {}\n# TYPE {} {}\n", key.name,
                                series.definition.help, key.name,
                                type_name(series.definition.kind));
        }
        if (series.definition.kind == metric_kind::latency)
            append_histogram(page, key.name, key.labels, series);
        else
            page += fmt::format("{}{} {}\n", key.name, format_label_set(key.labels),
                                series.number);
    }
    return page;
}

std::string metric_label(std::string_view name, std::string_view value)
{
    std::string label = fmt::format("{}=\"", name);
    for (char const character : value)
    {
        if (character == '\n')
        {
            label += "\\n";
            continue;
        }
        if (character == '"' || character == '\\')
            label += '\\';
        label += character;
    }
    label += '"';
    return label;
}

} // namespace marjorampath::serving
