#pragma once

#include <serving/settings/node_settings.hpp>

#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace marjorampath::serving
{

/// Describes one setting and maps it between the settings file and `node_settings`.
struct settings_field
{
    /// Name, with dots between the levels of the YAML file.
    std::string_view name;
    /// One sentence for operators, with the unit unless the name has it.
    std::string_view description;
    /// Whether the file must contain the setting.
    bool required = false;
    /// Parses a value into the settings; returns an error message, or an empty string on
    /// success.
    std::function<std::string(std::string const& value, node_settings& settings)> parse;
    /// Formats the value as text; null for settings that are not printed.
    std::function<std::string(node_settings const& settings)> to_text;
};

/// All settings of a node, in the order in which they are printed.
std::span<settings_field const> all_settings_fields();

} // namespace marjorampath::serving
