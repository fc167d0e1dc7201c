#pragma once

namespace marjorampath::ctl
{

/// Exit codes shared by the programs.
enum exit_code : int
{
    /// The command succeeded.
    success = 0,
    /// The command line is valid, but the check or operation failed.
    failure = 1,
    /// The command line or the settings are invalid.
    usage = 2
};

} // namespace marjorampath::ctl
