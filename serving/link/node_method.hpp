#pragma once

#include <schema/node.capnp.h>
#include <serving/link/grant_codec.hpp>
#include <serving/link/lease_codec.hpp>
#include <serving/link/membership_codec.hpp>
#include <serving/link/sheet_codec.hpp>

namespace marjorampath::serving
{

/// Maps a request type to its method of the RPC interface `Node`: `reply` is the type of
/// its reply, `start` creates a call.
template <class Request>
struct node_method;

/// `hello`
template <>
struct node_method<node_hello>
{
    using reply = node_hello;
    static auto start(schema::Node::Client& node)
    {
        return node.helloRequest();
    }
};

/// `probe`
template <>
struct node_method<probe>
{
    using reply = probe_reply;
    static auto start(schema::Node::Client& node)
    {
        return node.probeRequest();
    }
};

/// `indirectProbe`
template <>
struct node_method<indirect_probe>
{
    using reply = probe_reply;
    static auto start(schema::Node::Client& node)
    {
        return node.indirectProbeRequest();
    }
};

/// `lease`
template <>
struct node_method<lease_request>
{
    using reply = lease_reply;
    static auto start(schema::Node::Client& node)
    {
        return node.leaseRequest();
    }
};

/// `releaseLease`
template <>
struct node_method<lease_release>
{
    using reply = acknowledgement;
    static auto start(schema::Node::Client& node)
    {
        return node.releaseLeaseRequest();
    }
};

/// `grant`
template <>
struct node_method<cell_grant_request>
{
    using reply = cell_grant_reply;
    static auto start(schema::Node::Client& node)
    {
        return node.grantRequest();
    }
};

/// `releaseGrant`
template <>
struct node_method<cell_release>
{
    using reply = acknowledgement;
    static auto start(schema::Node::Client& node)
    {
        return node.releaseGrantRequest();
    }
};

/// `recallGrants`
template <>
struct node_method<grant_recall>
{
    using reply = grant_list;
    static auto start(schema::Node::Client& node)
    {
        return node.recallGrantsRequest();
    }
};

/// `fetchSheet`
template <>
struct node_method<sheet_request>
{
    using reply = sheet_reply;
    static auto start(schema::Node::Client& node)
    {
        return node.fetchSheetRequest();
    }
};

} // namespace marjorampath::serving
