#pragma once

#include <schema/node.capnp.h>
#include <serving/link/node_service.hpp>

#include <cstddef>

namespace marjorampath::serving
{

/// Serves the RPC interface `Node` with the functions of a `node_service`.
class node_server final : public schema::Node::Server
{
public:
    /// Largest number of calls without a reply, over all connections; further ones fail
    /// as overloaded.
    static constexpr std::size_t max_open_calls = 65'536;

    /// The service outlives the server.
    explicit node_server(node_service const& service);

    kj::Promise<void> hello(HelloContext context) override;
    kj::Promise<void> probe(ProbeContext context) override;
    kj::Promise<void> indirectProbe(IndirectProbeContext context) override;
    kj::Promise<void> lease(LeaseContext context) override;
    kj::Promise<void> releaseLease(ReleaseLeaseContext context) override;
    kj::Promise<void> grant(GrantContext context) override;
    kj::Promise<void> releaseGrant(ReleaseGrantContext context) override;
    kj::Promise<void> recallGrants(RecallGrantsContext context) override;
    kj::Promise<void> fetchSheet(FetchSheetContext context) override;

private:
    // Handles a call whose caller cancelled it or disconnected before the reply
    template <class Request>
    void on_cancelled(Request const& request) const;

    // Passes a call to its function and sends the reply
    template <class Request, class Reply, class Context>
    kj::Promise<void> serve(call_function<Request, Reply> const& function,
                            Context context);

    // Handlers of the calls
    node_service const& service_;
    // Number of calls without a reply
    std::size_t open_calls_ = 0;
};

} // namespace marjorampath::serving
