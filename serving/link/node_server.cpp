#include <serving/link/node_method.hpp>
#include <serving/link/node_server.hpp>

#include <kj/debug.h>

#include <memory>
#include <utility>

namespace marjorampath::serving
{

namespace
{

/// A call whose reply the service's function has yet to send.
template <class Reply>
struct pending_call
{
    // Sends the reply
    kj::Own<kj::PromiseFulfiller<Reply>> fulfiller;
    // Whether the function has replied
    bool answered = false;
};

} // namespace

node_server::node_server(node_service const& service) : service_(service) {}

template <class Request>
void node_server::on_cancelled(Request const&) const
{
}

template <>
void node_server::on_cancelled(cell_grant_request const& request) const
{
    if (service_.on_grant_withdrawn)
        service_.on_grant_withdrawn(request.cell, request.request.request);
}

template <class Request, class Reply, class Context>
kj::Promise<void> node_server::serve(call_function<Request, Reply> const& function,
                                     Context context)
{
    if (!function)
        return KJ_EXCEPTION(UNIMPLEMENTED, "no such call");
    if (open_calls_ >= max_open_calls)
        return KJ_EXCEPTION(OVERLOADED, "too many open calls");
    Request request;
    decode(context.getParams().getRequest(), request);
    context.releaseParams();

    auto pair = kj::newPromiseAndFulfiller<Reply>();
    auto pending = std::make_shared<pending_call<Reply>>();
    pending->fulfiller = kj::mv(pair.fulfiller);
    ++open_calls_;
    function(request,
             [pending](Reply const& reply)
             {
                 pending->answered = true;
                 pending->fulfiller->fulfill(Reply(reply));
             });
    auto send = [context](Reply&& reply) mutable
    { encode(reply, context.getResults().initReply()); };
    auto on_end = kj::defer(
        [this, weak = std::weak_ptr(pending), request]
        {
            --open_calls_;

            // The other host cancelled the call, or its connection ended
            auto const call = weak.lock();
            if (call && !call->answered)
                on_cancelled(request);
        });
    context.allowCancellation();
    return pair.promise.then(kj::mv(send)).attach(kj::mv(on_end));
}

kj::Promise<void> node_server::hello(HelloContext context)
{
    return serve(service_.hello, context);
}

kj::Promise<void> node_server::probe(ProbeContext context)
{
    return serve(service_.on_probe, context);
}

kj::Promise<void> node_server::indirectProbe(IndirectProbeContext context)
{
    return serve(service_.on_indirect_probe, context);
}

kj::Promise<void> node_server::lease(LeaseContext context)
{
    return serve(service_.on_lease, context);
}

kj::Promise<void> node_server::releaseLease(ReleaseLeaseContext context)
{
    return serve(service_.on_lease_release, context);
}

kj::Promise<void> node_server::grant(GrantContext context)
{
    return serve(service_.on_grant, context);
}

kj::Promise<void> node_server::releaseGrant(ReleaseGrantContext context)
{
    return serve(service_.on_release, context);
}

kj::Promise<void> node_server::recallGrants(RecallGrantsContext context)
{
    return serve(service_.on_recall, context);
}

kj::Promise<void> node_server::fetchSheet(FetchSheetContext context)
{
    return serve(service_.on_sheet, context);
}

} // namespace marjorampath::serving
