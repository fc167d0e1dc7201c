#pragma once

#include <marjorampath/organisation/organisation.hpp>
#include <marjorampath/organisation/organisation_problem.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace marjorampath
{

/// Finds the organisation that a key belongs to. Immutable; rebuilt for each version of a
/// deployment.
class organisation_directory
{
public:
    /// Indexes the organisations; `seed` makes the hashes of keys unpredictable for
    /// callers. A second organisation of the same name, and keys that belong to two
    /// organisations, are left out.
    organisation_directory(std::vector<organisation> const& organisations,
                           std::uint64_t seed);

    organisation_directory(organisation_directory const&) = delete;
    organisation_directory& operator=(organisation_directory const&) = delete;

    /// The organisation that holds a key, or null. Allocates nothing.
    [[nodiscard]] organisation const* find(std::string_view key) const noexcept;

    /// Number of keys.
    [[nodiscard]] std::size_t keys() const noexcept
    {
        return index_.size();
    }

    /// What was left out.
    [[nodiscard]] organisation_problems const& problems() const noexcept
    {
        return problems_;
    }

private:
    struct indexed_key
    {
        // Owned by the organisation
        std::string_view key;
        organisation const* owner;
    };

    // Adds the keys of one organisation to the index
    void add_keys(organisation const& owner);
    // Removes keys that belong to several organisations from the index
    void remove_shared_keys();

    std::uint64_t seed_;
    std::vector<organisation> organisations_;
    // Keys by their hash
    std::unordered_multimap<std::uint64_t, indexed_key> index_;
    // Hashes and keys that two organisations have
    std::vector<std::pair<std::uint64_t, std::string_view>> shared_;
    organisation_problems problems_;
};

} // namespace marjorampath
