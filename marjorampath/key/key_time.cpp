#include <marjorampath/key/key_time.hpp>

#include <charconv>

namespace marjorampath
{

namespace
{

// Length of the text form and places of its parts
constexpr std::size_t uuid_length = 36;
constexpr std::size_t version_place = 14;
constexpr std::size_t variant_place = 19;

bool is_hyphen_place(std::size_t place) noexcept
{
    return place == 8 || place == 13 || place == 18 || place == 23;
}

bool is_hexadecimal(char letter) noexcept
{
    return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'f') ||
           (letter >= 'A' && letter <= 'F');
}

} // namespace

std::optional<wall_milliseconds> key_time_of(std::string_view key) noexcept
{
    if (key.size() != uuid_length || key[version_place] != '7')
        return std::nullopt;
    if (std::string_view("89abAB").find(key[variant_place]) == std::string_view::npos)
        return std::nullopt;
    for (std::size_t place = 0; place < uuid_length; ++place)
    {
        auto const valid =
            is_hyphen_place(place) ? key[place] == '-' : is_hexadecimal(key[place]);
        if (!valid)
            return std::nullopt;
    }

    // The first 48 bits are milliseconds since 1970
    std::int64_t high = 0;
    std::int64_t low = 0;
    std::from_chars(key.data(), key.data() + 8, high, 16);
    std::from_chars(key.data() + 9, key.data() + 13, low, 16);
    return wall_milliseconds(high * 65'536 + low);
}

} // namespace marjorampath
