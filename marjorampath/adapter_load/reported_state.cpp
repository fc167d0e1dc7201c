#include <marjorampath/adapter_load/reported_state.hpp>

#include <array>
#include <cstddef>

namespace marjorampath
{

std::string_view to_string(reported_state state) noexcept
{
    constexpr std::array<std::string_view, 3> names{"absent", "loading", "loaded"};
    return names.at(static_cast<std::size_t>(state));
}

} // namespace marjorampath
