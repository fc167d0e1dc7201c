#pragma once

#include <serving/settings/node_settings.hpp>

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace marjorampath::serving
{

/// One reason for which a settings file is rejected, with its place.
struct settings_problem
{
    /// Name of the file.
    std::string file;
    /// Line, counted from 1; zero where the whole file is meant.
    int line = 0;
    /// Name of the setting; empty where the whole file is meant.
    std::string setting;
    /// What is wrong.
    std::string text;

    /// The problem as one line: `file:line: setting: text`.
    [[nodiscard]] std::string to_string() const;
};

/// The settings, or every reason found for rejecting them.
using settings_or_problems = std::variant<node_settings, std::vector<settings_problem>>;

/// Reads settings from YAML text; `file` is the name for problems.
settings_or_problems read_settings(std::string const& file, std::string const& text);

/// Reads a settings file.
settings_or_problems read_settings_file(std::string const& file);

/// The settings in force as YAML text, with every default.
std::string format_settings(node_settings const& settings);

/// The candidate that differs from a name in the fewest letters, or an empty text where
/// none is near.
std::string_view nearest_name(std::string_view name,
                              std::vector<std::string_view> const& candidates);

} // namespace marjorampath::serving
