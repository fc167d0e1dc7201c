#include <marjorampath/resource_budget/budget_event.hpp>

#include <array>
#include <cstddef>

namespace marjorampath
{

std::string_view to_string(budget_event value) noexcept
{
    constexpr std::array<std::string_view, 4> names{"granted", "refused", "idle",
                                                    "stalled"};
    return names.at(static_cast<std::size_t>(value));
}

} // namespace marjorampath
