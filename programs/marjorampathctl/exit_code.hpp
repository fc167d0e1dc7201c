#pragma once

namespace marjorampath::ctl
{

/// Exit codes of all programs.
enum exit_code : int
{
    /// All went well.
    success = 0,
    /// What was asked for was checked or tried, and failed.
    failure = 1,
    /// The command line or the settings are wrong.
    usage = 2
};

} // namespace marjorampath::ctl
