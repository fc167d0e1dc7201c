#pragma once

#include <marjorampath/trace/trace_request.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace marjorampath
{

/// How the trace of a working day is made.
struct trace_generator_options
{
    /// Service that runs on model engines.
    std::string model_service = "dossier";
    /// Plain service with lookups and operations that run at most once.
    std::string plain_service = "custody";
    /// Path of the plain service's operation that runs at most once.
    std::string at_most_once_path = "/transfers";
    /// Path of the plain service's lookups.
    std::string lookup_path = "/lots";
    /// Prefix of adapter names; adapters are `PREFIX-0`, `PREFIX-1`, …
    std::string adapter_prefix = "origin";
    /// Number of adapters.
    std::uint32_t adapters = 3'000;
    /// Exponent of the Zipf distribution of adapter popularity.
    double zipf_exponent = 1.1;
    /// Length of the trace, in milliseconds.
    std::uint64_t length_ms = 60'000;
    /// Mean requests a second outside of bursts.
    double rate = 20.0;
    /// Factor of the rate within a burst.
    double burst_factor = 2.0;
    /// Share of requests that go to the model service.
    double model_share = 0.7;
    /// Share of the plain requests that run at most once.
    double at_most_once_share = 0.3;
    /// Share of the model requests that are streamed.
    double stream_share = 0.7;
    /// Largest number of tokens of a request.
    std::uint32_t max_tokens = 64;
    /// Deadline of model requests, in milliseconds.
    std::uint64_t model_deadline_ms = 20'000;
};

/// The options of a customer, `ennstal` or `trazalgodon`; the names are those of the
/// example sheets.
trace_generator_options trace_options_of(std::string const& customer);

/// Makes the trace of a working day: arrivals by a Poisson process whose rate bursts in
/// the first tenth and falls to half in the last fifth, Zipf popularity whose hot set
/// moves in the middle of the day, and keys for operations that run at most once. The
/// same options and seed give the same trace on every machine.
std::vector<trace_request> generate_trace(trace_generator_options const& options,
                                          std::uint64_t seed);

} // namespace marjorampath
