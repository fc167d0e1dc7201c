#pragma once

namespace marjorampath::serving
{

/// Keeps the signals that stop or reload a process until `unblock_signals`, so that one
/// that comes while the process still starts does not end it. To be called first in
/// `main`, before any thread is started.
void block_signals();

/// Lets the signals come, those that were held first; to be called once they are handled.
void unblock_signals();

} // namespace marjorampath::serving
