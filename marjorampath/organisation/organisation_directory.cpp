#include <marjorampath/core/hash.hpp>
#include <marjorampath/organisation/access_key.hpp>
#include <marjorampath/organisation/organisation_directory.hpp>

#include <iterator>
#include <set>

namespace marjorampath
{

organisation_directory::organisation_directory(
    std::vector<organisation> const& organisations, std::uint64_t seed)
    : seed_(seed)
{
    std::set<std::string_view> names;
    for (auto const& each : organisations)
    {
        if (names.insert(each.name).second)
            organisations_.push_back(each);
        else
            problems_.push_back(
                {.organisation = each.name, .reason = "another one has this name"});
    }
    for (auto const& each : organisations_)
        add_keys(each);
    remove_shared_keys();
}

void organisation_directory::add_keys(organisation const& owner)
{
    for (std::string_view const key : owner.keys)
    {
        auto const hash = hash_bytes(key, seed_);
        auto const [begin, end] = index_.equal_range(hash);
        auto known = begin;
        while (known != end && known->second.key != key)
            ++known;
        if (known == end)
            index_.emplace(hash, indexed_key{.key = key, .owner = &owner});
        if (known == end || known->second.owner == &owner)
            continue;
        problems_.push_back({.organisation = owner.name,
                             .reason = "the key belongs to another one too",
                             .key_digest = key_digest(key)});
        shared_.emplace_back(hash, key);
    }
}

void organisation_directory::remove_shared_keys()
{
    for (auto const& [hash, key] : shared_)
    {
        auto const [begin, end] = index_.equal_range(hash);
        for (auto each = begin; each != end;)
            each = each->second.key == key ? index_.erase(each) : std::next(each);
    }
}

organisation const* organisation_directory::find(std::string_view key) const noexcept
{
    auto const [begin, end] = index_.equal_range(hash_bytes(key, seed_));
    for (auto each = begin; each != end; ++each)
        if (equal_keys(each->second.key, key))
            return each->second.owner;
    return nullptr;
}

} // namespace marjorampath
