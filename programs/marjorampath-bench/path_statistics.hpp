#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace marjorampath::bench
{

/// Results of the callers of one thread or of all threads.
struct path_statistics
{
    /// Requests started.
    std::uint64_t requests = 0;
    /// Sends, including repeated ones.
    std::uint64_t attempts = 0;
    /// Complete answers with the expected text.
    std::uint64_t whole = 0;
    /// Answers that ended without an error, but with fewer tokens than expected.
    std::uint64_t truncated = 0;
    /// Answers with text of another adapter, version or request.
    std::uint64_t wrong = 0;
    /// Requests that ended with neither a complete answer nor an error with kind and
    /// outcome.
    std::uint64_t lost = 0;
    /// Tokens of complete answers.
    std::uint64_t tokens = 0;
    /// Requests that ended in an error, were lost or were not sent, by reason.
    std::map<std::string, std::uint64_t> errors;
    /// Times from when a request was due to its complete answer, in microseconds.
    std::vector<std::uint32_t> latency_us;
    /// Times from when a request was due to the first part of its body, in microseconds.
    std::vector<std::uint32_t> first_token_us;

    /// Adds the results of another thread.
    void add(path_statistics const& other);
};

/// Returns the value below which a fraction (0 to 1) of the values lies; zero if there
/// are none. Sorts the values.
std::uint32_t quantile(std::vector<std::uint32_t>& values, double fraction);

} // namespace marjorampath::bench
