#include <marjorampath/peer/load_refusal.hpp>

#include <array>
#include <cstddef>

namespace marjorampath
{

std::string_view to_string(load_refusal reason) noexcept
{
    // Published names; some differ from the enumerators
    constexpr std::array<std::string_view, 5> names{"none", "no_orders", "no_model",
                                                    "no_place", "in_transit"};
    return names.at(static_cast<std::size_t>(reason));
}

} // namespace marjorampath
