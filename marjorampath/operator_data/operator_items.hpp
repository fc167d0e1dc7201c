#pragma once

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
/// changes up to that revision, or nobody would give it those that it lacks.
class operator_items
{
public:
    /// One item.
    struct item
    {
        /// Revision of its last change.
        std::uint64_t revision = 0;
        /// Its bytes; empty if it was removed.
        std::string value;
        /// Whether it was removed.
        bool removed = false;
    };

    /// Stores an item. False if this change of it or a newer one is known.
    bool store(std::string const& key, item changed);

    /// Notes that all changes up to a revision of the store are known. An earlier
    /// revision than the last one has no effect.
    void note_complete(std::uint64_t revision);

    /// Revision of the store up to which all changes are known; zero before the first
    /// whole read.
    [[nodiscard]] std::uint64_t complete_revision() const noexcept
    {
        return complete_revision_;
    }

    /// The newest change up to that revision; zero if there is none. Unlike the revision
    /// of the store it is the same on all hosts that have the same items.
    [[nodiscard]] std::uint64_t last_complete_change() const noexcept
    {
        return last_complete_change_;
    }

    /// All items by key, also removed ones.
    [[nodiscard]] std::map<std::string, item> const& items() const noexcept
    {
        return items_;
    }

    /// Revision of an item; zero if it is not known.
    [[nodiscard]] std::uint64_t revision_of(std::string const& key) const;

private:
    std::map<std::string, item> items_;
    // Newest change of any item
    std::uint64_t newest_change_ = 0;
    std::uint64_t complete_revision_ = 0;
    std::uint64_t last_complete_change_ = 0;
};

} // namespace marjorampath
