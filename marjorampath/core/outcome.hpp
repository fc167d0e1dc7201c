#pragma once

#include <optional>
#include <string_view>

namespace marjorampath
{

/// What is known of whether a request ran. Every error answer carries one.
enum class outcome
{
    /// The request certainly did not run at any endpoint.
    not_run,
    /// The request ran to its end.
    ran,
    /// The request may have run, wholly or in part.
    unknown
};

/// The name of an outcome as it is sent to callers: `not-run`, `ran` or `unknown`.
std::string_view to_string(outcome value) noexcept;

/// The outcome of a name, or nothing where the name is not one.
std::optional<outcome> parse_outcome(std::string_view name) noexcept;

} // namespace marjorampath
