#include <serving/caller/request_route.hpp>

#include <array>

namespace marjorampath::serving
{

namespace
{

constexpr std::string_view plain_prefix = "/services/";

// Route of one method and path
struct fixed_route
{
    std::string_view method;
    // Path relative to the service
    std::string_view path;
    route_kind kind;
};

constexpr std::array model_routes{
    fixed_route{"POST", "/v1/completions", route_kind::completions},
    fixed_route{"POST", "/v1/chat/completions", route_kind::chat_completions},
    fixed_route{"GET", "/v1/models", route_kind::models},
};

route_kind find_model_route(std::string_view method, std::string_view path) noexcept
{
    for (auto const& route : model_routes)
        if (route.method == method && route.path == path)
            return route.kind;
    return route_kind::none;
}

request_route find_plain_route(std::string_view target) noexcept
{
    auto const name_and_rest = target.substr(plain_prefix.size());
    auto const end = name_and_rest.find_first_of("/?");
    auto const name = name_and_rest.substr(0, end);
    if (name.empty())
        return {};
    auto const rest =
        end == std::string_view::npos ? std::string_view("/") : name_and_rest.substr(end);
    return {.kind = route_kind::plain, .service = name, .target = rest};
}

} // namespace

request_route find_route(std::string_view method, std::string_view target) noexcept
{
    if (target.starts_with(plain_prefix))
        return find_plain_route(target);

    auto const path = target.substr(0, target.find('?'));
    if (method == "GET" && path == "/healthz")
        return {.kind = route_kind::health, .service = {}, .target = path};
    if (method == "GET" && path == "/readyz")
        return {.kind = route_kind::readiness, .service = {}, .target = path};

    auto const top_level_route = find_model_route(method, path);
    if (top_level_route != route_kind::none)
        return {.kind = top_level_route, .service = {}, .target = path};

    // The first segment of the path may name the service
    auto const second_slash = path.find('/', 1);
    if (second_slash == std::string_view::npos || second_slash == 1)
        return {};
    auto const rest = path.substr(second_slash);
    return {.kind = find_model_route(method, rest),
            .service = path.substr(1, second_slash - 1),
            .target = rest};
}

} // namespace marjorampath::serving
