#pragma once

#include <marjorampath/core/time.hpp>

#include <string>

namespace marjorampath
{

/// A heartbeat that a host passes on for its sender.
struct relayed_heartbeat
{
    /// The encoded message, as it was received, so that fields that the relay does not
    /// know are kept.
    std::string message;
    /// Time since it was received.
    duration age{0};
};

} // namespace marjorampath
