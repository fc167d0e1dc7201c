#include <marjorampath/sheet/service_contract.hpp>

namespace marjorampath
{

std::string_view to_string(service_kind value) noexcept
{
    return value == service_kind::model ? "model" : "plain";
}

std::optional<service_kind> parse_service_kind(std::string_view name) noexcept
{
    if (name == "model")
        return service_kind::model;
    if (name == "plain")
        return service_kind::plain;
    return std::nullopt;
}

} // namespace marjorampath
