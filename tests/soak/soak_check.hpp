#pragma once

#include <tests/soak/soak_request.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace marjorampath::test
{

/// A version of an adapter that the operator announced.
struct announced_version
{
    /// Name of the adapter.
    std::string adapter;
    /// Number of the version.
    std::uint64_t version = 0;
    /// When the store accepted it, in milliseconds of the host's monotonic clock.
    std::int64_t at_ms = 0;
};

/// An endpoint that announced that it leaves.
struct announced_leave
{
    /// Name of the endpoint's process in the store.
    std::string endpoint;
    /// When it was announced, in milliseconds of the host's monotonic clock.
    std::int64_t at_ms = 0;
};

/// A key that the operator revoked.
struct revoked_key
{
    /// Organisation whose only key it was.
    std::string organisation;
    /// When the store accepted the revocation, in milliseconds of the host's monotonic
    /// clock.
    std::int64_t at_ms = 0;
};

/// A time in which faults may delay what a node sends or receives.
struct disrupted_node
{
    /// Index of the node.
    std::size_t node = 0;
    /// Name of the endpoint on whose link only it is disrupted; empty for all.
    std::string endpoint;
    /// Begin and end, in milliseconds of the host's monotonic clock.
    std::int64_t from_ms = 0;
    std::int64_t to_ms = 0;
};

/// Nodes that were cut from all endpoints.
struct cut_nodes
{
    /// Indices of the nodes.
    std::set<std::size_t> nodes;
    /// Begin and end, in milliseconds of the host's monotonic clock.
    std::int64_t from_ms = 0;
    std::int64_t to_ms = 0;
};

/// The observations that the promises are checked against.
struct soak_evidence
{
    /// Requests with the answers that callers received.
    std::vector<soak_request> requests;
    /// Records of all endpoints, one JSON object each.
    std::vector<std::string> records;
    /// Versions in the order of their announcement.
    std::vector<announced_version> versions;
    /// Times in which a node may use more of a limited rate than its share.
    std::vector<disrupted_node> disruptions;
    /// Cuts of nodes from all endpoints.
    std::vector<cut_nodes> cuts;
    /// When the nodes began to be stopped for good, in milliseconds of the host's
    /// monotonic clock.
    std::int64_t shutdown_ms = 0;
    /// Endpoints that announced that they leave.
    std::vector<announced_leave> leaves;
    /// Keys that were revoked.
    std::vector<revoked_key> revocations;
};

/// Whether faults disrupted a node, or its link to an endpoint, within `slack_ms` before
/// a time.
bool is_disrupted(soak_evidence const& evidence, std::size_t node,
                  std::string const& endpoint, std::int64_t at_ms, std::int64_t slack_ms);

/// Returns every breach of a promise, one line each.
std::vector<std::string> check_promises(soak_evidence const& evidence);

} // namespace marjorampath::test
