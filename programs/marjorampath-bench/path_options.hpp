#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace marjorampath::bench
{

/// Settings of the load test `path`.
struct path_options
{
    /// Nodes, or engines if `direct`; requests are sent to them in turn.
    std::vector<boost::asio::ip::tcp::endpoint> targets;
    /// Whether the targets are engines, without a node in between.
    bool direct = false;
    /// Requests per second, sent whether or not earlier ones are answered; zero sends
    /// each as soon as the previous one of its stream is answered.
    double rate = 0;
    /// Maximum number of requests in flight.
    std::uint32_t streams = 64;
    /// Total number of requests; zero for as many as fit into `duration`.
    std::uint64_t requests = 0;
    /// Time for which requests are started.
    std::chrono::milliseconds duration{10'000};
    /// Number of threads.
    std::uint32_t threads = 2;
    /// Service that the requests name.
    std::string service = "dossier";
    /// Prefix of adapter names, which end with a number from zero.
    std::string adapter_prefix = "lot-";
    /// Number of adapters.
    std::uint32_t adapters = 4;
    /// Adapter version whose text is expected.
    std::string version = "v1";
    /// Tokens of each answer.
    std::uint32_t tokens = 16;
    /// Percentage of streamed answers.
    std::uint32_t streamed_percent = 0;
    /// How often a request is sent at most, while its answers state that it was not run.
    std::uint32_t max_attempts = 1;
    /// Limit for connecting, and for sending a request and receiving its answer.
    std::chrono::milliseconds timeout{60'000};
    /// Seed for the choice of adapters.
    std::uint64_t seed = 1;
};

} // namespace marjorampath::bench
