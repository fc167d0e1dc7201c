#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace marjorampath
{

/// Estimates which prompt prefixes an engine has in its cache, from the requests granted
/// there. A direct-mapped table: a newer prefix replaces an older one in the same entry.
class prefix_cache_estimate
{
public:
    /// Adds the prefix of a prompt that runs at the engine.
    void add(std::uint64_t prefix) noexcept
    {
        table_.at(prefix % size) = prefix;
    }

    /// Whether the engine probably has the prefix in its cache. Zero means no prefix.
    [[nodiscard]] bool has(std::uint64_t prefix) const noexcept
    {
        return prefix != 0 && table_.at(prefix % size) == prefix;
    }

    /// Removes all prefixes, after a restart of the engine.
    void clear() noexcept
    {
        table_.fill(0);
    }

private:
    // Number of table entries
    static constexpr std::size_t size = 64;

    // Latest prefix by its remainder modulo `size`
    std::array<std::uint64_t, size> table_{};
};

} // namespace marjorampath
