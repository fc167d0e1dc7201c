#pragma once

#include <cstddef>
#include <sys/types.h>

namespace marjorampath::bench
{

/// Resource usage of a process.
struct process_usage
{
    /// Processor time, in seconds.
    double processor_seconds = 0;
    /// Resident memory, in bytes.
    std::size_t resident_bytes = 0;
};

/// Reads the usage of a process from /proc; all zero if the process does not exist.
process_usage read_process_usage(pid_t pid);

} // namespace marjorampath::bench
