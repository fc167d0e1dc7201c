#include <serving/encoding/zstd.hpp>

#include <zstd.h>

namespace marjorampath::serving
{

namespace
{

// Fast levels suffice: configurations consist of routes that are much alike
constexpr int compression_level = 3;

} // namespace

std::string compress_zstd(std::string_view plain)
{
    std::string compressed(ZSTD_compressBound(plain.size()), '\0');
    auto const size = ZSTD_compress(compressed.data(), compressed.size(), plain.data(),
                                    plain.size(), compression_level);
    compressed.resize(ZSTD_isError(size) != 0U ? 0 : size);
    return compressed;
}

std::optional<std::string> decompress_zstd(std::string_view compressed,
                                           std::size_t max_bytes)
{
    auto const expected = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
    if (expected == ZSTD_CONTENTSIZE_ERROR || expected == ZSTD_CONTENTSIZE_UNKNOWN ||
        expected > max_bytes)
        return std::nullopt;
    std::string plain(expected, '\0');
    auto const size =
        ZSTD_decompress(plain.data(), plain.size(), compressed.data(), compressed.size());
    if (ZSTD_isError(size) != 0U || size != expected)
        return std::nullopt;
    return plain;
}

} // namespace marjorampath::serving
