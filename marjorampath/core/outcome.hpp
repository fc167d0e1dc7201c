#pragma once

#include <optional>
#include <string_view>

namespace marjorampath
{

/// Whether a request ran, as far as known. Part of every error answer.
enum class outcome
{
    /// The request did not run at any endpoint.
    not_run,
    /// The request ran to its end.
    ran,
    /// The request may have run, completely or in part.
    unknown
};

/// The name of an outcome as it is sent to callers: `not-run`, `ran` or `unknown`.
std::string_view to_string(outcome value) noexcept;

/// The outcome with a name, or nothing if there is none.
std::optional<outcome> parse_outcome(std::string_view name) noexcept;

} // namespace marjorampath
