#pragma once

#include <marjorampath/trace/trace_request.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace marjorampath
{

/// Parameters for the generated trace of a working day.
struct trace_generator_options
{
    /// Service that runs on model engines.
    std::string model_service = "dossier";
    /// Plain service with lookups and with operations that must run at most once.
    std::string plain_service = "custody";
    /// Path of the operation that must run at most once.
    std::string at_most_once_path = "/transfers";
    /// Path of the lookups.
    std::string lookup_path = "/lots";
    /// Prefix of adapter names; adapters are `PREFIX-0`, `PREFIX-1`, …
    std::string adapter_prefix = "origin";
    /// Number of adapters.
    std::uint32_t adapters = 3'000;
    /// Exponent of the Zipf distribution of adapter popularity.
    double zipf_exponent = 1.1;
    /// Duration of the trace, in milliseconds.
    std::uint64_t length_ms = 60'000;
    /// Mean rate outside of bursts, in requests per second.
    double rate = 20.0;
    /// Factor by which the rate rises during a burst.
    double burst_factor = 2.0;
    /// Fraction of requests that go to the model service.
    double model_share = 0.7;
    /// Fraction of the plain requests that must run at most once.
    double at_most_once_share = 0.3;
    /// Fraction of the model requests that are streamed.
    double stream_share = 0.7;
    /// Largest token limit of a request.
    std::uint32_t max_tokens = 64;
    /// Deadline of model requests, in milliseconds.
    std::uint64_t model_deadline_ms = 20'000;
};

/// Returns the options for the customer `ennstal` or `trazalgodon`, with the names in its
/// example sheet; any other name gives the options for `trazalgodon`.
trace_generator_options trace_options_of(std::string const& customer);

/// Generates the trace of a working day. Arrivals follow a Poisson process with a burst
/// in the first tenth of the day and half the rate in the last fifth. Adapter popularity
/// follows a Zipf distribution whose most popular adapters change in the middle of the
/// day. Operations that must run at most once have an idempotency key. The same options
/// and seed give the same trace on every machine.
std::vector<trace_request> generate_trace(trace_generator_options const& options,
                                          std::uint64_t seed);

} // namespace marjorampath
