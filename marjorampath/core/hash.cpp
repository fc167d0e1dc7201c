#include <marjorampath/core/hash.hpp>

#include <array>
#include <xxhash.h>

namespace marjorampath
{

std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t hash_combine(std::uint64_t first, std::uint64_t second) noexcept
{
    std::array<std::uint64_t, 2> const pair{first, second};
    return XXH3_64bits(pair.data(), sizeof(pair));
}

} // namespace marjorampath
