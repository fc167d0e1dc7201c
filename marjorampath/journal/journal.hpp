#pragma once

#include <marjorampath/core/error_kind.hpp>
#include <marjorampath/core/time.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace marjorampath
{

/// One request that did not get a whole answer.
struct journal_entry
{
    /// Wall-clock time of the answer.
    wall_milliseconds at{0};
    /// Why it failed.
    error_kind reason = error_kind::internal;
    /// Name of the service.
    std::string service;
    /// Team of the service; only it may see the entry.
    std::string team;
    /// `X-Request-Id` of the request.
    std::string request;
};

/// Number of failures of one kind within a time.
struct journal_count
{
    /// Why they failed.
    error_kind reason = error_kind::none;
    /// How many.
    std::uint64_t count = 0;
};

/// What the morning shift asks for: requests of the night that were lost, unknown or
/// refused, and why. Bounded: the oldest entries are dropped, but stay counted.
class journal
{
public:
    /// Makes an empty journal that keeps `limit` entries.
    explicit journal(std::size_t limit) : limit_(limit) {}

    /// Adds a failed request.
    void add(journal_entry entry);

    /// Entries from a time on that a team may see, oldest first; an empty team sees all.
    [[nodiscard]] std::vector<journal_entry> since(wall_milliseconds time,
                                                   std::string const& team) const;

    /// Failures by kind since this host started; kinds without any are left out.
    [[nodiscard]] std::vector<journal_count> counts() const;

    /// Number of entries that were dropped.
    [[nodiscard]] std::uint64_t dropped() const noexcept
    {
        return dropped_;
    }

private:
    // Largest number of entries
    std::size_t limit_;
    // Entries, oldest first
    std::deque<journal_entry> entries_;
    // Failures by kind, dropped ones included
    std::array<std::uint64_t, static_cast<std::size_t>(error_kind::internal) + 1>
        counts_{};
    // Entries that were dropped
    std::uint64_t dropped_ = 0;
};

} // namespace marjorampath
