#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace marjorampath::bench
{

/// What load `path` makes.
struct path_options
{
    /// Nodes, or engines where `direct`; requests go to them in turn.
    std::vector<boost::asio::ip::tcp::endpoint> targets;
    /// Whether the targets are engines, which are asked without a node between.
    bool direct = false;
    /// Requests a second, sent whether or not earlier ones are answered; zero sends each
    /// as soon as the one before it on its stream is answered.
    double rate = 0;
    /// Requests under way at once, at most.
    std::uint32_t streams = 64;
    /// Requests in total; zero for as many as fit into `duration`.
    std::uint64_t requests = 0;
    /// Time for which requests are started.
    std::chrono::milliseconds duration{10'000};
    /// Number of threads.
    std::uint32_t threads = 2;
    /// Service that is asked.
    std::string service = "dossier";
    /// Adapters are named by this text and a number from zero.
    std::string adapter_prefix = "lot-";
    /// Number of adapters.
    std::uint32_t adapters = 4;
    /// Version that must answer.
    std::string version = "v1";
    /// Tokens of each answer.
    std::uint32_t tokens = 16;
    /// Share of streamed answers, in percent.
    std::uint32_t streamed_percent = 0;
    /// Sendings of one request, where it was answered that it did not run.
    std::uint32_t max_sendings = 1;
    /// Time after which a caller gives up waiting.
    std::chrono::milliseconds timeout{60'000};
    /// Seed of the choice of adapters.
    std::uint64_t seed = 1;
};

} // namespace marjorampath::bench
