#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace marjorampath
{

/// Guesses which prompt prefixes an engine has in its cache, from the requests that were
/// granted there. A direct-mapped table: a newer prefix displaces an older one.
class prefix_cache_estimate
{
public:
    /// Notes that a prompt with this prefix runs at the engine.
    void add(std::uint64_t prefix) noexcept
    {
        table_.at(prefix % size) = prefix;
    }

    /// Whether the engine probably has the prefix. Zero means no prefix.
    [[nodiscard]] bool has(std::uint64_t prefix) const noexcept
    {
        return prefix != 0 && table_.at(prefix % size) == prefix;
    }

    /// Forgets all; the engine restarted.
    void clear() noexcept
    {
        table_.fill(0);
    }

private:
    // Number of prefixes that are remembered
    static constexpr std::size_t size = 64;

    // Latest prefix of each remainder
    std::array<std::uint64_t, size> table_{};
};

} // namespace marjorampath
