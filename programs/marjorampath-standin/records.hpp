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

/// What a stand-in has done, as JSON Lines.
class records
{
public:
    /// Appends one line; beyond the bound only the count of lost lines rises.
    void append(boost::json::object const& line)
    {
        if (text_.size() > max_bytes)
            ++lost_;
        else
            text_ += boost::json::serialize(line) + '\n';
    }

    /// All lines.
    [[nodiscard]] std::string const& text() const noexcept
    {
        return text_;
    }

    /// Number of lines beyond the bound.
    [[nodiscard]] std::size_t lost() const noexcept
    {
        return lost_;
    }

    /// Forgets all lines.
    void clear()
    {
        text_.clear();
        lost_ = 0;
    }

private:
    // Bound of the text, in bytes
    static constexpr std::size_t max_bytes = 268'435'456;
    // All lines
    std::string text_;
    // Lines that did not fit
    std::size_t lost_ = 0;
};

/// The text of a member, or an empty text.
inline std::string text_member(boost::json::object const& object, std::string_view name)
{
    auto const* value = object.if_contains(name);
    if (!value || !value->is_string())
        return {};
    return {value->get_string().data(), value->get_string().size()};
}

/// The number that a text is, or zero.
inline std::uint64_t parse_number(std::string_view text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

/// The body of an error answer.
inline std::string error_body(std::string_view message)
{
    return boost::json::serialize(
        boost::json::object{{"error", boost::json::object{{"message", message}}}});
}

/// Assigns a number or Boolean member to `target` where the object has it.
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
