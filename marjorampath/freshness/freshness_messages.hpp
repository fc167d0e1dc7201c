#pragma once

#include <marjorampath/core/time.hpp>

#include <cstdint>
#include <optional>

namespace marjorampath
{

/// Asks another host how recently its configuration was certainly current.
struct freshness_query
{
    /// Number of the query. The sender keeps the time at which it was sent, which bounds
    /// the age of the reply however long either message was on its way.
    std::uint64_t number = 0;
};

/// The reply to such a query.
struct freshness_reply
{
    /// Number of the query.
    std::uint64_t number = 0;
    /// Version of the sender's configuration.
    std::uint64_t version = 0;
    /// Time between the latest moment at which it was certainly current and the reply;
    /// unset if there is none.
    std::optional<duration> age;
};

} // namespace marjorampath
