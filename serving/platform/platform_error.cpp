#include <serving/platform/platform_error.hpp>

#include <string>

namespace marjorampath::serving
{

namespace
{

class platform_error_category_type final : public std::error_category
{
public:
    [[nodiscard]] char const* name() const noexcept override
    {
        return "platform";
    }

    [[nodiscard]] std::string message(int value) const override
    {
        switch (static_cast<platform_error>(value))
        {
        case platform_error::not_found:
            return "the service does not have the value";
        case platform_error::not_modified:
            return "no newer revision";
        case platform_error::rate_limited:
            return "above the rate of reads";
        case platform_error::unexpected_status:
            return "unexpected status";
        case platform_error::malformed:
            return "the answer was not understood";
        }
        return "unknown error";
    }
};

} // namespace

std::error_category const& platform_error_category() noexcept
{
    static platform_error_category_type const category;
    return category;
}

std::error_code make_error_code(platform_error error) noexcept
{
    return {static_cast<int>(error), platform_error_category()};
}

} // namespace marjorampath::serving
