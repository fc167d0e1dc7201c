#include <marjorampath/stream_origin/origin_finding.hpp>

#include <array>
#include <cstddef>

namespace marjorampath
{

std::string_view to_string(origin_result value) noexcept
{
    static constexpr std::array<std::string_view, 10> names{
        "proved",           "pending",          "not_remembered", "past_unknown",
        "several_versions", "too_many_engines", "engine_silent",  "prompt_not_kept",
        "kept_by_several",  "process_ended"};
    return names.at(static_cast<std::size_t>(value));
}

} // namespace marjorampath
