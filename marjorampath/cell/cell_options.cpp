#include <marjorampath/cell/cell_options.hpp>

namespace marjorampath
{

cell_options low_stall_profile()
{
    return {.stall_weight = 0.9, .loads_per_second = 2.0};
}

cell_options full_batch_profile()
{
    return {.stall_weight = 0.2, .loads_per_second = 3.0};
}

std::optional<cell_options> find_profile(std::string_view name)
{
    if (name == "ennstal")
        return low_stall_profile();
    if (name == "trazalgodon")
        return full_batch_profile();
    return std::nullopt;
}

} // namespace marjorampath
