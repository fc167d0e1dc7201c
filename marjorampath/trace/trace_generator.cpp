#include <marjorampath/trace/trace_generator.hpp>

#include <boost/random/bernoulli_distribution.hpp>
#include <boost/random/discrete_distribution.hpp>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include <fmt/format.h>

#include <cmath>

namespace marjorampath
{

namespace
{

using random_engine = boost::random::mt19937_64;

// Falling popularity of the adapters by rank
boost::random::discrete_distribution<std::uint32_t> zipf(std::uint32_t adapters,
                                                         double exponent)
{
    std::vector<double> weights(adapters);
    for (std::uint32_t rank = 0; rank < adapters; ++rank)
        weights[rank] = 1.0 / std::pow(rank + 1.0, exponent);
    return boost::random::discrete_distribution<std::uint32_t>(weights);
}

// Makes one request after another
class day
{
public:
    day(trace_generator_options const& options, std::uint64_t seed)
        : options_(options), random_(seed),
          popularity_(zipf(options.adapters, options.zipf_exponent))
    {
    }

    std::vector<trace_request> make()
    {
        std::vector<trace_request> trace;
        double at_ms = next_gap(0.0);
        while (at_ms < static_cast<double>(options_.length_ms))
        {
            trace.push_back(next_request(static_cast<std::uint64_t>(at_ms)));
            at_ms += next_gap(at_ms);
        }
        return trace;
    }

private:
    bool chance(double probability)
    {
        return boost::random::bernoulli_distribution<>(probability)(random_);
    }

    double rate_at(double at_ms) const
    {
        // A burst in the first tenth, half the load in the last fifth
        auto const part = at_ms / static_cast<double>(options_.length_ms);
        if (part < 0.1)
            return options_.rate * options_.burst_factor;
        return part < 0.8 ? options_.rate : options_.rate * 0.5;
    }

    double next_gap(double at_ms)
    {
        constexpr double ms_per_second = 1'000.0;
        boost::random::exponential_distribution<> gap(rate_at(at_ms) / ms_per_second);
        return gap(random_);
    }

    std::uint32_t next_adapter(std::uint64_t at_ms)
    {
        // The hot set moves on in the middle of the day
        auto const rank = popularity_(random_);
        auto const shift = at_ms * 2 < options_.length_ms ? 0 : options_.adapters / 3;
        return (rank + shift) % options_.adapters;
    }

    trace_request next_request(std::uint64_t at_ms)
    {
        trace_request request;
        request.at_ms = at_ms;
        request.caller = fmt::format("caller-{}", random_() % 64);
        ++count_;
        if (chance(options_.model_share))
            fill_model_request(request);
        else
            fill_plain_request(request);
        return request;
    }

    void fill_model_request(trace_request& request)
    {
        boost::random::uniform_int_distribution<std::uint32_t> tokens(
            1, options_.max_tokens);
        request.service = options_.model_service;
        request.adapter =
            fmt::format("{}-{}", options_.adapter_prefix, next_adapter(request.at_ms));
        request.operation = "completions";
        request.body = fmt::format("Summarise record {} of {}.", count_, request.adapter);
        request.max_tokens = tokens(random_);
        request.stream = chance(options_.stream_share);
        request.deadline_ms = options_.model_deadline_ms;
    }

    void fill_plain_request(trace_request& request)
    {
        request.service = options_.plain_service;
        if (!chance(options_.at_most_once_share))
        {
            request.operation =
                fmt::format("GET {}/{}", options_.lookup_path, random_() % 10'000);
            return;
        }
        request.operation = "POST " + options_.at_most_once_path;
        request.body = fmt::format("{{\"entry\":{}}}", count_);
        request.key = fmt::format("{}-{:016x}", options_.plain_service, random_());
    }

    // Options of the day
    trace_generator_options const& options_;
    // Source of all randomness
    random_engine random_;
    // Popularity by rank
    boost::random::discrete_distribution<std::uint32_t> popularity_;
    // Requests made so far
    std::uint64_t count_ = 0;
};

} // namespace

trace_generator_options trace_options_of(std::string const& customer)
{
    if (customer != "ennstal")
        return {};
    return {.model_service = "catalogue",
            .plain_service = "hammer",
            .at_most_once_path = "/entries",
            .lookup_path = "/prices",
            .adapter_prefix = "herd",
            .max_tokens = 32,
            .model_deadline_ms = 8'000};
}

std::vector<trace_request> generate_trace(trace_generator_options const& options,
                                          std::uint64_t seed)
{
    return day(options, seed).make();
}

} // namespace marjorampath
