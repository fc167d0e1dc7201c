#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace marjorampath::serving
{

/// Builds the target of a request: a path, and a query of parameters in the order in
/// which they are added. Keys and values may hold any bytes: all but the unreserved
/// characters of RFC 3986 and the slash are percent-encoded.
class request_target
{
public:
    /// Begins with a path that is sent as it is.
    explicit request_target(std::string_view path) : text_(path) {}

    /// Appends a key to the path. Must come before the parameters.
    request_target& add_key(std::string_view key);

    /// Appends a parameter of the query. `name` is sent as it is.
    request_target& add_parameter(std::string_view name, std::string_view value);

    /// Appends a parameter with a number.
    request_target& add_parameter(std::string_view name, std::uint64_t value);

    /// The target.
    [[nodiscard]] std::string const& text() const noexcept
    {
        return text_;
    }

private:
    std::string text_;
    // Whether the query has begun
    bool has_query_ = false;
};

} // namespace marjorampath::serving
