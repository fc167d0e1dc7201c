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

/// What became of a sheet that was offered.
enum class sheet_offer_result
{
    /// It is now in force.
    in_force,
    /// Its number is not higher than that of the sheet in force.
    not_newer,
    /// It failed a check.
    rejected
};

/// Holds the sheet in force and its parts. Only a higher number replaces it, and only as
/// a whole. Not synchronised.
class sheet_holder
{
public:
    /// Whether a manifest is worth fetching its parts for.
    [[nodiscard]] bool is_newer(sheet_manifest const& manifest) const noexcept
    {
        return manifest.number > number();
    }

    /// Checks a manifest and its parts, in the manifest's order, and puts them into
    /// force.
    sheet_offer_result offer(sheet_manifest const& manifest,
                             std::vector<sheet_part> parts);

    /// The number in force; zero where there is none.
    [[nodiscard]] std::uint64_t number() const noexcept
    {
        return sheet_ ? sheet_->number() : 0;
    }

    /// The sheet in force; null where there is none.
    [[nodiscard]] std::shared_ptr<sheet const> const& current() const noexcept
    {
        return sheet_;
    }

    /// The manifest in force.
    [[nodiscard]] sheet_manifest const& manifest() const noexcept
    {
        return manifest_;
    }

    /// The text of a part in force by its digest, or null.
    [[nodiscard]] std::string const* find_part(std::string const& digest) const;

    /// Why the last sheet was rejected.
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
    // Problems of the last sheet that was rejected
    std::vector<sheet_problem> problems_;
};

} // namespace marjorampath::serving
