#include <serving/admin/admin_tokens.hpp>

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <yaml-cpp/yaml.h>

#include <charconv>

namespace marjorampath::serving
{

namespace
{

std::string text_of(YAML::Node const& node, char const* name)
{
    auto const value = node[name];
    return value && value.IsScalar() ? value.as<std::string>() : std::string();
}

} // namespace

admin_tokens::digest admin_tokens::hash_of(std::string_view token)
{
    digest hash{};
    unsigned size = 0;
    EVP_Digest(token.data(), token.size(), hash.data(), &size, EVP_sha256(), nullptr);
    return hash;
}

std::optional<admin_tokens::digest> admin_tokens::parse_digest(std::string_view text)
{
    digest hash{};
    constexpr int hexadecimal = 16;
    if (text.size() != 2 * hash.size())
        return std::nullopt;
    for (std::size_t index = 0; index < hash.size(); ++index)
    {
        auto const* first = text.data() + 2 * index;
        auto const [stop, error] =
            std::from_chars(first, first + 2, hash.at(index), hexadecimal);
        if (error != std::errc{} || stop != first + 2)
            return std::nullopt;
    }
    return hash;
}

std::variant<admin_tokens, std::string> admin_tokens::read(std::string const& yaml)
{
    admin_tokens tokens;
    try
    {
        for (auto const& node : YAML::Load(yaml))
        {
            auto const line = node.Mark().line + 1;
            auto const role = parse_admin_role(text_of(node, "role"));
            if (!role)
                return fmt::format("line {}: role is not viewer or operator", line);
            auto const hash = parse_digest(text_of(node, "sha256"));
            if (!hash)
                return fmt::format("line {}: sha256 is not 64 hexadecimal digits", line);
            auto const name = text_of(node, "name");
            if (name.empty())
                return fmt::format("line {}: name is missing", line);
            tokens.entries_.push_back({*hash, {name, text_of(node, "team"), *role}});
        }
    }
    catch (YAML::Exception const& error)
    {
        return std::string(error.what());
    }
    return tokens;
}

std::optional<admin_principal> admin_tokens::find(std::string_view token) const
{
    // All entries are compared, so that time tells nothing
    auto const hash = hash_of(token);
    admin_principal const* found = nullptr;
    for (auto const& each : entries_)
        if (CRYPTO_memcmp(each.hash.data(), hash.data(), hash.size()) == 0)
            found = &each.principal;
    if (!found)
        return std::nullopt;
    return *found;
}

} // namespace marjorampath::serving
