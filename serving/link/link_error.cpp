#include <serving/link/link_error.hpp>

#include <array>
#include <string>
#include <string_view>

namespace marjorampath::serving
{

namespace
{

constexpr std::array<std::string_view, 7> link_error_names{
    "none",      "unreachable", "overloaded", "connection_lost",
    "timed_out", "unsupported", "failed"};

class link_category final : public std::error_category
{
public:
    char const* name() const noexcept override
    {
        return "link";
    }

    std::string message(int value) const override
    {
        auto const index = static_cast<std::size_t>(value);
        return std::string(index < link_error_names.size() ? link_error_names[index]
                                                           : "unknown");
    }
};

} // namespace

bool was_never_sent(std::error_code const& error) noexcept
{
    return error == link_error::unreachable || error == link_error::overloaded;
}

std::error_category const& link_error_category() noexcept
{
    static link_category const category;
    return category;
}

std::error_code make_error_code(link_error error) noexcept
{
    return {static_cast<int>(error), link_error_category()};
}

} // namespace marjorampath::serving
