#pragma once

#include <marjorampath/sheet/sheet_reader.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marjorampath::serving
{

/// Result of offering a sheet to a sheet_holder.
enum class sheet_offer_result
{
    /// The sheet is now in force.
    in_force,
    /// Its number is not higher than that of the sheet in force.
    not_newer,
    /// The sheet failed a check.
    rejected
};

/// Holds the sheet in force and its parts. Only a sheet with a higher number replaces it,
/// and only as a whole. Not thread-safe.
class sheet_holder
{
public:
    /// Whether a manifest has a higher number than the sheet in force.
    [[nodiscard]] bool is_newer(sheet_manifest const& manifest) const noexcept
    {
        return manifest.number > number();
    }

    /// Checks a manifest and its parts, given in the order of the manifest, and replaces
    /// the sheet in force if they are valid.
    sheet_offer_result offer(sheet_manifest const& manifest,
                             std::vector<sheet_part> parts);

    /// The number of the sheet in force; zero without a sheet.
    [[nodiscard]] std::uint64_t number() const noexcept
    {
        return sheet_ ? sheet_->number() : 0;
    }

    /// The sheet in force; null without a sheet.
    [[nodiscard]] std::shared_ptr<sheet const> const& current() const noexcept
    {
        return sheet_;
    }

    /// The manifest of the sheet in force.
    [[nodiscard]] sheet_manifest const& manifest() const noexcept
    {
        return manifest_;
    }

    /// The text of the part with this digest in the sheet in force; null if it has none.
    [[nodiscard]] std::string const* find_part(std::string const& digest) const;

    /// Problems of the last rejected sheet; cleared when a sheet comes into force.
    [[nodiscard]] std::vector<sheet_problem> const& problems() const noexcept
    {
        return problems_;
    }

private:
    // Sheet in force
    std::shared_ptr<sheet const> sheet_;
    // Its manifest
    sheet_manifest manifest_;
    // Texts of its parts by digest
    std::unordered_map<std::string, std::string> parts_;
    // Problems of the last rejected sheet
    std::vector<sheet_problem> problems_;
};

} // namespace marjorampath::serving
