#pragma once

#include <serving/encoding/zstd.hpp>

#include <optional>
#include <string>
#include <utility>

namespace marjorampath::serving
{

/// Contents of the store as text for other hosts, which is compressed once for all.
class relay_text
{
public:
    /// An empty text.
    relay_text() = default;

    /// Takes a text.
    explicit relay_text(std::string plain) : plain_(std::move(plain)) {}

    /// The text itself.
    [[nodiscard]] std::string const& plain() const noexcept
    {
        return plain_;
    }

    /// The compressed text; empty if it cannot be compressed.
    [[nodiscard]] std::string const& compressed()
    {
        if (!compressed_)
            compressed_ = compress_zstd(plain_);
        return *compressed_;
    }

private:
    std::string plain_;
    // Set once it was needed
    std::optional<std::string> compressed_;
};

} // namespace marjorampath::serving
