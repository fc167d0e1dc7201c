#pragma once

#include <marjorampath/core/identifier.hpp>

#include <cstdint>

namespace marjorampath
{

/// What a host tells the others of the requests of one organisation that it receives.
struct quota_report
{
    /// Hash of the organisation's name.
    std::uint64_t organisation = 0;
    /// Units per second that its callers ask for at the host.
    std::uint64_t asked = 0;
    /// Units per second that the host lets through.
    std::uint64_t used = 0;

    friend bool operator==(quota_report const&, quota_report const&) = default;
};

} // namespace marjorampath
