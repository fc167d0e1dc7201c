#pragma once

#include <marjorampath/sheet/sheet_part.hpp>
#include <marjorampath/sheet/sheet_problem.hpp>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace marjorampath
{

/// The published list of a sheet's parts. CSV with the columns `record,name,value`: one
/// row `sheet,number,N` and a row `part,NAME,DIGEST` for each part.
struct sheet_manifest
{
    /// One part.
    struct entry
    {
        /// Name of the part.
        std::string name;
        /// Digest of its text: 32 hexadecimal digits (XXH128).
        std::string digest;
    };

    /// Number of the sheet; a higher number replaces a lower one.
    std::uint64_t number = 0;
    /// The parts.
    std::vector<entry> parts;

    /// The manifest as CSV text.
    [[nodiscard]] std::string to_csv() const;

    /// Digest of the whole sheet: its number and the names and digests of all parts.
    [[nodiscard]] std::uint64_t digest() const;
};

/// The digest of the text of a part, as listed in a manifest.
std::string sheet_part_digest(std::string_view text);

/// Makes the manifest of the given parts.
sheet_manifest make_sheet_manifest(std::uint64_t number,
                                   std::span<sheet_part const> parts);

/// Reads a manifest, or returns all problems found in it.
std::variant<sheet_manifest, std::vector<sheet_problem>>
read_sheet_manifest(std::string_view text);

} // namespace marjorampath
