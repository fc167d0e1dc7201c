#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace marjorampath::bench
{

/// What the callers of one thread, or of all, have seen.
struct path_statistics
{
    /// Requests started.
    std::uint64_t requests = 0;
    /// Sendings, with those that were repeated.
    std::uint64_t sendings = 0;
    /// Whole answers with the right text.
    std::uint64_t whole = 0;
    /// Answers that look whole but lack tokens.
    std::uint64_t truncated = 0;
    /// Answers with text of another adapter, version or request.
    std::uint64_t wrong = 0;
    /// Requests that ended without a whole answer and without a clear error.
    std::uint64_t lost = 0;
    /// Tokens of whole answers.
    std::uint64_t tokens = 0;
    /// Last answers that were errors, by kind and outcome.
    std::map<std::string, std::uint64_t> errors;
    /// Times from when a request was due to its whole answer, in microseconds.
    std::vector<std::uint32_t> latency_us;
    /// Times from when a request was due to the first part of its body, in microseconds.
    std::vector<std::uint32_t> first_token_us;

    /// Adds what another thread has seen.
    void add(path_statistics const& other);
};

/// The value below which a share of the values lies; sorts them.
std::uint32_t quantile(std::vector<std::uint32_t>& values, double share);

} // namespace marjorampath::bench
