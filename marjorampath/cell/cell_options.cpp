#include <marjorampath/cell/cell_options.hpp>

namespace marjorampath
{

cell_options ennstal_profile()
{
    return {.stall_weight = 0.9, .loads_per_second = 2.0};
}

cell_options trazalgodon_profile()
{
    return {.stall_weight = 0.2, .loads_per_second = 3.0};
}

std::optional<cell_options> find_profile(std::string_view name)
{
    if (name == "ennstal")
        return ennstal_profile();
    if (name == "trazalgodon")
        return trazalgodon_profile();
    return std::nullopt;
}

} // namespace marjorampath
