#pragma once

#include <marjorampath/gossip/sheet_reply.hpp>
#include <marjorampath/gossip/sheet_request.hpp>
#include <marjorampath/lease/grant_list.hpp>
#include <marjorampath/lease/grant_recall.hpp>
#include <marjorampath/lease/lease_release.hpp>
#include <marjorampath/lease/lease_reply.hpp>
#include <marjorampath/lease/lease_request.hpp>
#include <marjorampath/membership/indirect_probe.hpp>
#include <marjorampath/membership/probe.hpp>
#include <marjorampath/membership/probe_reply.hpp>
#include <serving/link/acknowledgement.hpp>
#include <serving/link/cell_grant_reply.hpp>
#include <serving/link/cell_grant_request.hpp>
#include <serving/link/cell_release.hpp>
#include <serving/link/node_hello.hpp>

#include <functional>

namespace marjorampath::serving
{

/// Sends the reply of a call. Call it once, during the call or later, on the control
/// thread. If it is destroyed without being called, the call fails.
template <class Reply>
using reply_function = std::function<void(Reply const&)>;

/// Handles one kind of call.
template <class Request, class Reply>
using call_function = std::function<void(Request const&, reply_function<Reply>)>;

/// Handlers for the calls of other hosts. A call whose handler is empty fails as not
/// implemented.
struct node_service
{
    /// The first message of a connection.
    call_function<node_hello, node_hello> hello;
    /// A probe.
    call_function<probe, probe_reply> on_probe;
    /// A probe on behalf of another host.
    call_function<indirect_probe, probe_reply> on_indirect_probe;
    /// A request for leases.
    call_function<lease_request, lease_reply> on_lease;
    /// A holder releases leases before they expire.
    call_function<lease_release, acknowledgement> on_lease_release;
    /// A grant request; the reply is sent when the cell has decided.
    call_function<cell_grant_request, cell_grant_reply> on_grant;
    /// The other host cancelled a grant request before the reply.
    std::function<void(resource_id, request_id)> on_grant_withdrawn;
    /// The request of a grant no longer runs.
    call_function<cell_release, acknowledgement> on_release;
    /// A new owner requests the list of grants held by this host.
    call_function<grant_recall, grant_list> on_recall;
    /// A peer requests the sheet.
    call_function<sheet_request, sheet_reply> on_sheet;
};

} // namespace marjorampath::serving
