#pragma once

namespace marjorampath::serving
{

/// The answer to a message that needs no other.
struct acknowledgement
{
    /// Whether the receiver acted on the message.
    bool accepted = true;
};

} // namespace marjorampath::serving
