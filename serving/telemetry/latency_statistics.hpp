#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace marjorampath::serving
{

/// Inclusive upper bounds of the latency histogram buckets, in seconds.
inline constexpr std::array<double, 18> latency_bounds{
    0.00005, 0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025,
    0.05,    0.1,    0.25,    0.5,    1,     2.5,    5,     10,   30};

/// Number of samples per bucket; the last bucket counts samples above all bounds.
using latency_bucket_counts = std::array<std::uint64_t, latency_bounds.size() + 1>;

namespace detail
{

/// A Boost.Accumulators accumulator that counts samples in fixed buckets, so that the
/// counts of several threads can be summed.
struct latency_bucket_accumulator : boost::accumulators::accumulator_base
{
    using result_type = latency_bucket_counts const&;

    template <class Arguments>
    explicit latency_bucket_accumulator(Arguments const&)
    {
    }

    template <class Arguments>
    void operator()(Arguments const& arguments)
    {
        double const sample = arguments[boost::accumulators::sample];
        std::size_t bucket = 0;
        while (bucket < latency_bounds.size() && sample > latency_bounds[bucket])
            ++bucket;
        ++counts_[bucket];
    }

    [[nodiscard]] result_type result(boost::accumulators::dont_care) const
    {
        return counts_;
    }

private:
    // Samples per bucket, not cumulative
    latency_bucket_counts counts_{};
};

/// The feature that adds `latency_bucket_accumulator` to an accumulator set.
struct latency_buckets : boost::accumulators::depends_on<>
{
    using impl = boost::mpl::always<latency_bucket_accumulator>;
};

} // namespace detail

/// Count, sum, maximum and bucket counts of durations in seconds.
class latency_statistics
{
public:
    /// Records a duration in seconds.
    void record(double seconds)
    {
        samples_(seconds);
    }

    /// Number of samples.
    [[nodiscard]] std::uint64_t count() const
    {
        return boost::accumulators::count(samples_);
    }

    /// Sum of the samples, in seconds.
    [[nodiscard]] double sum() const
    {
        return boost::accumulators::sum(samples_);
    }

    /// The largest sample in seconds; zero without samples.
    [[nodiscard]] double max() const
    {
        return count() == 0 ? 0 : boost::accumulators::max(samples_);
    }

    /// Samples per bucket, not cumulative.
    [[nodiscard]] latency_bucket_counts const& buckets() const
    {
        return boost::accumulators::extract_result<detail::latency_buckets>(samples_);
    }

private:
    // Accumulates all statistics in one pass
    boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<
                    boost::accumulators::tag::count, boost::accumulators::tag::sum,
                    boost::accumulators::tag::max, detail::latency_buckets>>
        samples_;
};

} // namespace marjorampath::serving
