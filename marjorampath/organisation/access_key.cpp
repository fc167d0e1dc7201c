#include <marjorampath/core/hash.hpp>
#include <marjorampath/organisation/access_key.hpp>

namespace marjorampath
{

std::uint32_t key_digest(std::string_view key) noexcept
{
    return static_cast<std::uint32_t>(hash_bytes(key));
}

bool equal_keys(std::string_view first, std::string_view second) noexcept
{
    if (first.size() != second.size())
        return false;

    // Volatile, so that the compiler does not leave the loop at the first difference
    unsigned char volatile difference = 0;
    for (std::size_t index = 0; index < first.size(); ++index)
        difference = static_cast<unsigned char>(
            difference | (static_cast<unsigned char>(first[index]) ^
                          static_cast<unsigned char>(second[index])));
    return difference == 0;
}

} // namespace marjorampath
