#include <marjorampath/adapter_load/planned_order.hpp>

#include <array>
#include <cstddef>

namespace marjorampath
{

std::string_view to_string(order_kind kind) noexcept
{
    constexpr std::array<std::string_view, 3> names{"load_model", "load_adapter",
                                                    "unload_adapter"};
    return names.at(static_cast<std::size_t>(kind));
}

std::string_view to_string(order_result result) noexcept
{
    // Published names; some differ from the enumerators
    constexpr std::array<std::string_view, 6> names{"accepted", "holds",  "conflict",
                                                    "refused",  "fenced", "unknown"};
    return names.at(static_cast<std::size_t>(result));
}

} // namespace marjorampath
