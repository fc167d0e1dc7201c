#pragma once

namespace marjorampath::serving
{

/// Blocks SIGTERM, SIGINT and SIGHUP until `unblock_signals`, so that a signal during
/// startup stays pending instead of terminating the process. Must be called first in
/// `main`, before any thread starts, because threads inherit the signal mask.
void block_signals();

/// Unblocks the signals for the calling thread and delivers pending ones; must be called
/// after their handlers are installed.
void unblock_signals();

} // namespace marjorampath::serving
