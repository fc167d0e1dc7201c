#pragma once

namespace marjorampath::serving
{

/// Reply to a message that has no reply content of its own.
struct acknowledgement
{
    /// Whether the receiver acted on the message.
    bool accepted = true;
};

} // namespace marjorampath::serving
