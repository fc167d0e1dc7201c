#pragma once

#include <serving/admin/admin_role.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace marjorampath::serving
{

/// Who makes an administrative call.
struct admin_principal
{
    /// Name that is logged.
    std::string name;
    /// Team whose services it may see; empty for all.
    std::string team;
    /// What it may do.
    admin_role role = admin_role::viewer;
};

/// The tokens that the administration accepts. Only their SHA-256 hashes are kept.
///
/// The file is YAML: a list of `{name, role, team, sha256}`, where `role` is `viewer` or
/// `operator`, `team` is optional and `sha256` is the hash in 64 hexadecimal digits.
class admin_tokens
{
public:
    /// Reads the text of a token file, or tells what is wrong with it.
    static std::variant<admin_tokens, std::string> read(std::string const& yaml);

    /// Who a token belongs to, or nothing. Takes the same time for every wrong token.
    [[nodiscard]] std::optional<admin_principal> find(std::string_view token) const;

private:
    // Hash of a token
    using digest = std::array<unsigned char, 32>;

    // One token
    struct entry
    {
        digest hash{};
        admin_principal principal;
    };

    // The hash of a token
    static digest hash_of(std::string_view token);

    // Reads 64 hexadecimal digits
    static std::optional<digest> parse_digest(std::string_view text);

    // All tokens
    std::vector<entry> entries_;
};

} // namespace marjorampath::serving
