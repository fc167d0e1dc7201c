#include <serving/remote/remote_error.hpp>

#include <string>

namespace marjorampath::serving
{

namespace
{

class remote_error_category_type final : public std::error_category
{
public:
    [[nodiscard]] char const* name() const noexcept override
    {
        return "platform";
    }

    [[nodiscard]] std::string message(int value) const override
    {
        switch (static_cast<remote_error>(value))
        {
        case remote_error::not_found:
            return "value not found";
        case remote_error::not_modified:
            return "value not modified";
        case remote_error::rate_limited:
            return "read rate limit exceeded";
        case remote_error::unexpected_status:
            return "unexpected HTTP status";
        case remote_error::malformed:
            return "malformed answer";
        case remote_error::history_changed:
            return "the store was restored from a copy meanwhile";
        case remote_error::history_lost:
            return "changes that the store no longer has";
        case remote_error::list_incomplete:
            return "the rest of the list cannot be read";
        }
        return "unknown error";
    }
};

} // namespace

std::error_category const& remote_error_category() noexcept
{
    static remote_error_category_type const category;
    return category;
}

std::error_code make_error_code(remote_error error) noexcept
{
    return {static_cast<int>(error), remote_error_category()};
}

} // namespace marjorampath::serving
