#pragma once

#include <marjorampath/core/hash.hpp>

#include <fmt/format.h>

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace marjorampath::standin
{

/// The text that the engine stand-in generates. Token K of a prompt is
/// `ADAPTER@VERSION/DIGEST:K ` with the digest of the prompt, so that a caller can check
/// that the answer is complete, belongs to its own request and comes from the right
/// adapter version. A prompt that ends in such a token is continued after it.
struct generated_text
{
    /// Name of the adapter version.
    std::string model;
    /// Digest of the original prompt, without generated tokens.
    std::uint32_t digest = 0;
    /// Number of the first token, counted from 1.
    std::uint32_t first = 1;

    /// The text of token `first + offset`.
    [[nodiscard]] std::string token(std::uint32_t offset) const
    {
        return fmt::format("{}/{:08x}:{} ", model, digest, first + offset);
    }

    /// The text of the first `count` tokens.
    [[nodiscard]] std::string tokens(std::uint32_t count) const
    {
        std::string text;
        for (std::uint32_t offset = 0; offset < count; ++offset)
            text += token(offset);
        return text;
    }
};

/// The rest of the text whose token a prompt ends in: same digest, next token number.
/// Nothing where the prompt does not end in a token of `model`.
inline std::optional<generated_text> continued_text(std::string_view model,
                                                    std::string_view prompt)
{
    if (!prompt.ends_with(' '))
        return std::nullopt;
    prompt.remove_suffix(1);

    // Split `DIGEST:K` from the end and check that the model name precedes it
    auto const colon = prompt.rfind(':');
    constexpr std::size_t digest_digits = 8;
    if (colon == std::string_view::npos || colon < digest_digits + 1 + model.size())
        return std::nullopt;
    auto const digest_text = prompt.substr(colon - digest_digits, digest_digits);
    auto const before_digest = prompt.substr(0, colon - digest_digits);
    if (!before_digest.ends_with('/') ||
        !before_digest.substr(0, before_digest.size() - 1).ends_with(model))
        return std::nullopt;

    generated_text text{.model = std::string(model)};
    auto const number = prompt.substr(colon + 1);
    std::uint32_t last = 0;
    auto const [number_end, number_error] =
        std::from_chars(number.data(), number.data() + number.size(), last);
    auto const [digest_end, digest_error] = std::from_chars(
        digest_text.data(), digest_text.data() + digest_text.size(), text.digest, 16);
    if (number_error != std::errc{} || digest_error != std::errc{})
        return std::nullopt;
    text.first = last + 1;
    return text;
}

/// The text that a model generates for a prompt.
inline generated_text text_for(std::string_view model, std::string_view prompt)
{
    if (auto continued = continued_text(model, prompt))
        return *continued;
    return {.model = std::string(model),
            .digest = static_cast<std::uint32_t>(hash_bytes(prompt))};
}

} // namespace marjorampath::standin
