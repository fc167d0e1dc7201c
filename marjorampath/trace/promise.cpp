#include <marjorampath/trace/promise.hpp>

#include <array>

namespace marjorampath
{

std::string_view to_string(promise value) noexcept
{
    // Names in the order of the enumerators
    constexpr std::array<std::string_view, promise_count> names{
        "right-adapter", "whole-answer",   "at-most-once",       "not-run-true",
        "answered",      "stated-outcome", "no-serving-eviction"};
    return names.at(static_cast<std::size_t>(value));
}

} // namespace marjorampath
