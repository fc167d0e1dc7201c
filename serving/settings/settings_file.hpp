#pragma once

#include <serving/settings/node_settings.hpp>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace marjorampath::serving
{

/// One reason why a settings file is rejected, with its location.
struct settings_problem
{
    /// Name of the file.
    std::string file;
    /// Line number, counted from 1; zero if the problem has no line.
    int line = 0;
    /// Name of the setting; empty if the problem concerns the whole file.
    std::string setting;
    /// Error message, without location and setting.
    std::string text;

    /// Formats the problem as one line: `file:line: setting: text`.
    [[nodiscard]] std::string to_string() const;
};

/// The settings, or all problems found in them.
using settings_or_problems = std::variant<node_settings, std::vector<settings_problem>>;

/// Parses settings from YAML text; `file` is the file name reported in problems.
settings_or_problems read_settings(std::string const& file, std::string const& text);

/// Reads and parses a settings file.
settings_or_problems read_settings_file(std::string const& file);

/// Formats the settings as YAML text, including defaults.
std::string format_settings(node_settings const& settings);

/// The candidate with the smallest edit distance to a name, or an empty string if no
/// candidate is close.
std::string_view nearest_name(std::string_view name,
                              std::vector<std::string_view> const& candidates);

} // namespace marjorampath::serving
