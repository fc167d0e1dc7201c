#include <marjorampath/dispatch/attempt_end.hpp>

#include <array>
#include <cstddef>

namespace marjorampath
{

std::string_view to_string(attempt_end value) noexcept
{
    // Published names; some differ from the enumerators
    constexpr std::array<std::string_view, 12> names{
        "finished",         "failed",      "refused",   "adapter_missing",
        "another_instance", "unreachable", "lost",      "garbled",
        "timed_out",        "cancelled",   "oversized", "unread"};
    return names.at(static_cast<std::size_t>(value));
}

} // namespace marjorampath
