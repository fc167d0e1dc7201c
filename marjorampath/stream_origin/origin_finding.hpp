#pragma once

#include <marjorampath/core/time.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace marjorampath
{

/// What evidence of one kind proves of the software version that began a stream.
enum class origin_result : std::uint8_t
{
    /// This version began it, and no other one can have.
    proved,
    /// More may be known soon.
    pending,
    /// No host remembers it.
    not_remembered,
    /// Endpoints may have served then that this host does not know.
    past_unknown,
    /// Endpoints of several versions, or of none, can have begun it.
    several_versions,
    /// The service has too many engines to ask them all.
    too_many_engines,
    /// An engine that can have begun it has not answered since.
    engine_silent,
    /// No engine keeps its prompt.
    prompt_not_kept,
    /// Engines of several versions keep its prompt.
    kept_by_several,
    /// A process of another version that can have begun it has ended.
    process_ended
};

/// Returns the name used in logs.
std::string_view to_string(origin_result value) noexcept;

/// The answer of one kind of evidence to a `stream_question`.
struct origin_finding
{
    origin_result result = origin_result::not_remembered;
    /// The version, if it is proved.
    std::string software_version;
    /// When to ask again if the result is pending and nothing happened before.
    time_point recheck = time_point::max();
};

} // namespace marjorampath
