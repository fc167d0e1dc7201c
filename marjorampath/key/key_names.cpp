#include <marjorampath/key/key_state.hpp>
#include <marjorampath/key/key_verdict.hpp>

#include <array>

namespace marjorampath
{

namespace
{

// Names in the order of the enumerators
constexpr std::array<std::string_view, 4> state_names = {"running", "answered", "unknown",
                                                         "not-run"};
constexpr std::array<std::string_view, 7> verdict_names = {
    "run", "replay", "in-progress", "mismatch", "unknown", "not-home", "unavailable"};

} // namespace

std::string_view to_string(key_state value) noexcept
{
    return state_names[static_cast<std::size_t>(value)];
}

std::string_view to_string(key_verdict value) noexcept
{
    return verdict_names[static_cast<std::size_t>(value)];
}

} // namespace marjorampath
