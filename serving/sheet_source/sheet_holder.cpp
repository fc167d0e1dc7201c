#include <serving/sheet_source/sheet_holder.hpp>

#include <utility>

namespace marjorampath::serving
{

sheet_offer_result sheet_holder::offer(sheet_manifest const& manifest,
                                       std::vector<sheet_part> parts)
{
    if (!is_newer(manifest))
        return sheet_offer_result::not_newer;

    auto result = read_sheet(manifest, parts);
    if (auto* problems = std::get_if<std::vector<sheet_problem>>(&result))
    {
        problems_ = std::move(*problems);
        return sheet_offer_result::rejected;
    }

    // Parts that did not change are found again by their digests
    sheet_ = std::get<std::shared_ptr<sheet const>>(std::move(result));
    manifest_ = manifest;
    parts_.clear();
    for (auto& part : parts)
    {
        auto digest = sheet_part_digest(part.text);
        parts_.insert_or_assign(std::move(digest), std::move(part.text));
    }
    problems_.clear();
    return sheet_offer_result::in_force;
}

std::string const* sheet_holder::find_part(std::string const& digest) const
{
    auto const found = parts_.find(digest);
    return found == parts_.end() ? nullptr : &found->second;
}

} // namespace marjorampath::serving
