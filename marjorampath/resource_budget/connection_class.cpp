#include <marjorampath/resource_budget/connection_class.hpp>

#include <array>

namespace marjorampath
{

std::string_view to_string(connection_class value) noexcept
{
    constexpr std::array<std::string_view, connection_classes> names{
        "callers", "hosts", "endpoints", "control"};
    return names.at(static_cast<std::size_t>(value));
}

} // namespace marjorampath
