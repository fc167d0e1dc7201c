#pragma once

#include <cstddef>
#include <sys/types.h>

namespace marjorampath::bench
{

/// What a process has used.
struct process_usage
{
    /// Processor time, in seconds.
    double processor_seconds = 0;
    /// Resident memory, in bytes.
    std::size_t resident_bytes = 0;
};

/// Reads the usage of a process from /proc; zeros where it does not exist.
process_usage read_process_usage(pid_t pid);

} // namespace marjorampath::bench
