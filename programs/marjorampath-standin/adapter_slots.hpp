#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace marjorampath::standin
{

/// The adapter slots of the engine, with the versions that are loaded or being loaded.
class adapter_slots
{
public:
    /// Creates `count` empty slots; a load in progress occupies one.
    explicit adapter_slots(std::size_t count) : count_(count) {}

    /// Whether an adapter version is loaded.
    [[nodiscard]] bool is_loaded(std::string_view name) const
    {
        return index_of(loaded_, name) < loaded_.size();
    }

    /// Whether an adapter version is loaded or being loaded.
    [[nodiscard]] bool is_loaded_or_loading(std::string_view name) const
    {
        return is_loaded(name) || index_of(loading_, name) < loading_.size();
    }

    /// Reserves a slot for a load; false where none is free.
    bool reserve(std::string_view name)
    {
        if (loaded_.size() + loading_.size() >= count_)
            return false;
        loading_.emplace_back(name);
        return true;
    }

    /// Ends a load that `reserve` began; false where `clear` has removed the reservation,
    /// as after a crash.
    bool finish_load(std::string_view name, bool succeeded)
    {
        if (!remove(loading_, name))
            return false;
        if (succeeded)
            loaded_.emplace_back(name);
        return true;
    }

    /// Unloads an adapter version; false where it was not loaded.
    bool unload(std::string_view name)
    {
        return remove(loaded_, name);
    }

    /// Empties all slots and drops the loads in progress.
    void clear()
    {
        loaded_.clear();
        loading_.clear();
    }

    /// Names of the loaded adapter versions.
    [[nodiscard]] std::vector<std::string> const& loaded() const noexcept
    {
        return loaded_;
    }

    /// Number of slots.
    [[nodiscard]] std::size_t count() const noexcept
    {
        return count_;
    }

private:
    // Index of a name, or the size of `names` where it is missing
    static std::size_t index_of(std::vector<std::string> const& names,
                                std::string_view name)
    {
        std::size_t index = 0;
        while (index < names.size() && names[index] != name)
            ++index;
        return index;
    }

    // Removes a name; false where it is missing
    static bool remove(std::vector<std::string>& names, std::string_view name)
    {
        auto const index = index_of(names, name);
        if (index == names.size())
            return false;
        names.erase(names.begin() + static_cast<std::ptrdiff_t>(index));
        return true;
    }

    // Number of slots
    std::size_t count_;
    // Loaded adapter versions
    std::vector<std::string> loaded_;
    // Adapter versions being loaded
    std::vector<std::string> loading_;
};

} // namespace marjorampath::standin
