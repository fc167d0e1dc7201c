#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/stream_origin/stream_origin.hpp>

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace marjorampath
{

/// Settings of a stream origin table.
struct stream_origin_options
{
    /// Longest time from the first event of a stream to the last attempt of its caller to
    /// continue it: twice the longest deadline on the deployment sheets.
    duration max_stream_age = std::chrono::seconds(30);
    /// Most streams that are remembered; the oldest ones are forgotten first.
    std::size_t max_streams = 20'000;
};

/// The origins of streams that began at this host or of which another host told it.
class stream_origin_table
{
public:
    /// Constructs an empty table.
    explicit stream_origin_table(stream_origin_options options) : options_(options) {}

    /// Remembers the origin of a stream.
    void remember(stream_origin const& origin, time_point now);

    /// The software version that began a stream; empty if it is not known.
    [[nodiscard]] std::optional<std::string> find(stream_id stream, time_point now) const;

private:
    struct entry
    {
        std::string software_version;
        time_point remembered_at;
    };

    // Forgets old entries, and the oldest ones beyond the largest number
    void forget_old(time_point now);

    stream_origin_options options_;
    std::unordered_map<stream_id, entry> streams_;
    // Streams in the order in which they were remembered
    std::deque<stream_id> order_;
};

} // namespace marjorampath
