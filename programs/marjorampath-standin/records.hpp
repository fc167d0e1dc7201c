#pragma once

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <charconv>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace marjorampath::standin
{

/// Log of what a stand-in has done, as JSON Lines bounded in size.
class records
{
public:
    /// Appends one line; once the size limit is exceeded, lines are only counted as lost.
    void append(boost::json::object const& line)
    {
        if (text_.size() > max_bytes)
            ++lost_;
        else
            text_ += boost::json::serialize(line) + '\n';
    }

    /// The lines kept, each ended by a line feed.
    [[nodiscard]] std::string const& text() const noexcept
    {
        return text_;
    }

    /// Number of lines that were not kept.
    [[nodiscard]] std::size_t lost() const noexcept
    {
        return lost_;
    }

    /// Removes all lines and resets the count of lost ones.
    void clear()
    {
        text_.clear();
        lost_ = 0;
    }

private:
    // Size in bytes beyond which no line is appended
    static constexpr std::size_t max_bytes = 268'435'456;
    // The lines kept
    std::string text_;
    // Number of lines that were not kept
    std::size_t lost_ = 0;
};

/// The string value of a member; empty where it is missing or not a string.
inline std::string text_member(boost::json::object const& object, std::string_view name)
{
    auto const* value = object.if_contains(name);
    if (!value || !value->is_string())
        return {};
    return {value->get_string().data(), value->get_string().size()};
}

/// The decimal number at the start of a text; zero where there is none.
inline std::uint64_t parse_number(std::string_view text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/// The JSON body of an error response.
inline std::string error_body(std::string_view message)
{
    return boost::json::serialize(
        boost::json::object{{"error", boost::json::object{{"message", message}}}});
}

/// Assigns a numeric or Boolean member to `target`; leaves `target` as it is where the
/// member is missing or of another type.
template <typename Target>
void assign_member(boost::json::object const& object, std::string_view name,
                   Target& target)
{
    auto const* value = object.if_contains(name);
    if (!value)
        return;
    if (value->is_bool())
        target = static_cast<Target>(value->get_bool());
    else if (value->is_int64())
        target = static_cast<Target>(value->get_int64());
    else if (value->is_double())
        target = static_cast<Target>(value->get_double());
}

} // namespace marjorampath::standin
