#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace marjorampath::standin
{

/// The adapters that the engine holds.
class adapter_slots
{
public:
    /// Holds at most `count` adapters, loads in progress included.
    explicit adapter_slots(std::size_t count) : count_(count) {}

    /// Whether an adapter version is loaded.
    [[nodiscard]] bool holds(std::string_view name) const
    {
        return position(loaded_, name) < loaded_.size();
    }

    /// Whether an adapter version is loaded or being loaded.
    [[nodiscard]] bool knows(std::string_view name) const
    {
        return holds(name) || position(loading_, name) < loading_.size();
    }

    /// Takes a slot for a load; whether one was free.
    bool reserve(std::string_view name)
    {
        if (loaded_.size() + loading_.size() >= count_)
            return false;
        loading_.emplace_back(name);
        return true;
    }

    /// Ends a load that `reserve` began; false where a crash emptied the slots since.
    bool finish_load(std::string_view name, bool worked)
    {
        if (!remove(loading_, name))
            return false;
        if (worked)
            loaded_.emplace_back(name);
        return true;
    }

    /// Unloads an adapter version; whether it was loaded.
    bool unload(std::string_view name)
    {
        return remove(loaded_, name);
    }

    /// Forgets everything.
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
    static std::size_t position(std::vector<std::string> const& names,
                                std::string_view name)
    {
        std::size_t index = 0;
        while (index < names.size() && names[index] != name)
            ++index;
        return index;
    }

    static bool remove(std::vector<std::string>& names, std::string_view name)
    {
        auto const index = position(names, name);
        if (index == names.size())
            return false;
        names.erase(names.begin() + static_cast<std::ptrdiff_t>(index));
        return true;
    }

    // Number of slots
    std::size_t count_;
    // Loaded adapter versions
    std::vector<std::string> loaded_;
    // Loads in progress
    std::vector<std::string> loading_;
};

} // namespace marjorampath::standin
