#pragma once

#include <marjorampath/core/store_position.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace marjorampath
{

/// The items that the operator publishes in the configuration store, as far as a host
/// knows them.
///
/// They arrive in pieces: pages of one read, of which later ones may fail, changes, and
/// copies that other hosts pass on. What a host says that it has must hold for all
/// changes up to that position, or nobody would give it those that it lacks.
///
/// A restored store lists older values until the operator has written the lost ones
/// again. The value with the higher version is kept meanwhile.
class operator_items
{
public:
    /// One item.
    struct item
    {
        /// Position of its last change.
        store_position position;
        /// The operator's own version of the value, which only rises; zero if the value
        /// has none.
        std::uint64_t version = 0;
        /// Whether the value is newer than the one that the store has at the position.
        bool kept = false;
        /// Its bytes; empty if it was removed.
        std::string value;
        /// Whether it was removed.
        bool removed = false;
    };

    /// Stores an item. False if this change of it or a newer one is known, or a value
    /// with a higher version.
    bool store(std::string const& key, item changed);

    /// Notes that all changes up to a position are known. An earlier position than the
    /// last one has no effect.
    void note_complete(store_position position);

    /// Position up to which all changes are known; zero before the first whole read.
    [[nodiscard]] store_position complete() const noexcept
    {
        return complete_;
    }

    /// The newest change up to that position; zero if there is none. Unlike the position
    /// of the store it is the same on all hosts that have the same items.
    [[nodiscard]] store_position last_complete_change() const noexcept
    {
        return last_complete_change_;
    }

    /// All items by key, also removed ones.
    [[nodiscard]] std::map<std::string, item> const& items() const noexcept
    {
        return items_;
    }

    /// The item with a key, or null.
    [[nodiscard]] item const* find(std::string const& key) const;

    /// Position of an item; zero if it is not known.
    [[nodiscard]] store_position position_of(std::string const& key) const;

    /// Number of items whose values are newer than those of the store.
    [[nodiscard]] std::size_t kept() const;

private:
    // Notes that an item changed at a position
    void note_change(store_position position);

    std::map<std::string, item> items_;
    // Newest change of any item
    store_position newest_change_;
    store_position complete_;
    store_position last_complete_change_;
};

} // namespace marjorampath
