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

/// Sends the reply of a call; to be called once, at once or later, on the control thread.
/// A call whose function is destroyed without being called fails.
template <class Reply>
using reply_function = std::function<void(Reply const&)>;

/// Handles one kind of call.
template <class Request, class Reply>
using call_function = std::function<void(Request const&, reply_function<Reply>)>;

/// What this host does with the calls of other hosts. A call without function fails as
/// not implemented.
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
    /// Leases end early.
    call_function<lease_release, acknowledgement> on_lease_release;
    /// A request for a grant; answered when it is decided.
    call_function<cell_grant_request, cell_grant_reply> on_grant;
    /// The other host has given up on a request for a grant that was not answered.
    std::function<void(resource_id, request_id)> on_grant_withdrawn;
    /// A granted request no longer runs.
    call_function<cell_release, acknowledgement> on_release;
    /// A new owner asks for the grants held here.
    call_function<grant_recall, grant_list> on_recall;
    /// A peer asks for the sheet.
    call_function<sheet_request, sheet_reply> on_sheet;
};

} // namespace marjorampath::serving
