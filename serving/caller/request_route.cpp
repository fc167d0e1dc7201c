#include <serving/caller/request_route.hpp>

#include <array>

namespace marjorampath::serving
{

namespace
{

constexpr std::string_view plain_prefix = "/services/";

// A path with one meaning
struct fixed_route
{
    // HTTP method
    std::string_view method;
    // Path without a service
    std::string_view path;
    // Meaning
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
    auto const below = target.substr(plain_prefix.size());
    auto const end = below.find_first_of("/?");
    auto const name = below.substr(0, end);
    if (name.empty())
        return {};
    auto const rest =
        end == std::string_view::npos ? std::string_view("/") : below.substr(end);
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

    auto const direct = find_model_route(method, path);
    if (direct != route_kind::none)
        return {.kind = direct, .service = {}, .target = path};

    // The first part of the path may name the service
    auto const second = path.find('/', 1);
    if (second == std::string_view::npos || second == 1)
        return {};
    auto const below = path.substr(second);
    return {.kind = find_model_route(method, below),
            .service = path.substr(1, second - 1),
            .target = below};
}

} // namespace marjorampath::serving
