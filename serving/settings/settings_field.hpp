#pragma once

#include <serving/settings/node_settings.hpp>

#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace marjorampath::serving
{

/// One setting: its place in the file and its place in `node_settings`.
struct settings_field
{
    /// Name, with dots between the levels of the file.
    std::string_view name;
    /// One sentence, with the unit.
    std::string_view text;
    /// Whether the file must have it.
    bool required = false;
    /// Takes a value in; returns what is wrong with it, or an empty text.
    std::function<std::string(std::string const& value, node_settings& settings)> take;
    /// The value as text.
    std::function<std::string(node_settings const& settings)> show;
};

/// All settings of a node.
std::span<settings_field const> all_settings_fields();

} // namespace marjorampath::serving
