#include <serving/admin/admin_role.hpp>

namespace marjorampath::serving
{

std::string_view to_string(admin_role role) noexcept
{
    return role == admin_role::viewer ? "viewer" : "operator";
}

std::optional<admin_role> parse_admin_role(std::string_view name) noexcept
{
    if (name == "viewer")
        return admin_role::viewer;
    if (name == "operator")
        return admin_role::operate;
    return std::nullopt;
}

} // namespace marjorampath::serving
