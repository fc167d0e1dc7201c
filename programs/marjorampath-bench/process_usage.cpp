#include <programs/marjorampath-bench/process_usage.hpp>

#include <fmt/format.h>

#include <fstream>
#include <limits>
#include <string>
#include <unistd.h>

namespace marjorampath::bench
{

process_usage read_process_usage(pid_t pid)
{
    process_usage usage;

    // User and system time are fields 14 and 15; fields are counted from the end of the
    // process name, which may contain spaces
    std::ifstream stat(fmt::format("/proc/{}/stat", pid));
    stat.ignore(std::numeric_limits<std::streamsize>::max(), ')');
    std::string skipped;
    constexpr int fields_before_time = 11;
    for (int field = 0; field < fields_before_time; ++field)
        stat >> skipped;
    double user = 0;
    double system = 0;
    stat >> user >> system;
    usage.processor_seconds =
        (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));

    std::ifstream memory(fmt::format("/proc/{}/statm", pid));
    std::size_t total = 0;
    std::size_t resident = 0;
    memory >> total >> resident;
    usage.resident_bytes = resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
    return usage;
}

} // namespace marjorampath::bench
