#pragma once

#include <cstdint>
#include <string_view>

namespace marjorampath
{

/// How one attempt of a request ended at an endpoint.
enum class attempt_end : std::uint8_t
{
    /// The whole answer came.
    finished,
    /// The endpoint ran the request and answered with a failure of its own.
    failed,
    /// The endpoint refused the request before running it: it is full or leaving.
    refused,
    /// The endpoint does not hold the model or adapter.
    adapter_missing,
    /// The address belongs to another endpoint by now.
    another_instance,
    /// No connection could be made; nothing was sent.
    unreachable,
    /// The connection broke before the answer was whole.
    lost,
    /// What came was no answer in the protocol, or another request's.
    garbled,
    /// Nothing came in time; the attempt was ended from here.
    timed_out,
    /// The caller went away or its time was over.
    cancelled
};

/// The name of an end, as in logs.
std::string_view to_string(attempt_end value) noexcept;

} // namespace marjorampath
