#include <tests/soak/part_check.hpp>
#include <tests/soak/soak_check.hpp>

#include <boost/json.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <map>

namespace marjorampath::test
{

namespace json = boost::json;

namespace
{

// The platform's bounds: crashes that count, time behind them (`contactMs`), requests
// that may still reach engines, and requests from which a share is compared
constexpr std::size_t counted_crashes = 5;
constexpr std::int64_t contact_ms = 3'000;
constexpr std::size_t allowed_requests = 3;
constexpr std::size_t min_compared = 20;

// Streams that were sent, and those of them that began
struct begun_share
{
    std::size_t sent = 0;
    std::size_t begun = 0;

    [[nodiscard]] double value() const
    {
        return static_cast<double>(begun) / static_cast<double>(sent);
    }
};

struct arrival
{
    std::int64_t at_ms = 0;
    std::string endpoint;
    std::string attempt;
};

class part_checker
{
public:
    explicit part_checker(soak_evidence const& evidence) : evidence_(evidence)
    {
        for (auto const& request : evidence.requests)
            if (request.crashes_engines)
                nodes_[request.attempt] = request.node;
        for (auto const& line : evidence.records)
            read_record(json::parse(line).as_object());
        std::sort(crashes_.begin(), crashes_.end());
    }

    std::vector<std::string> check()
    {
        if (crashes_.size() >= counted_crashes)
            check_arrivals(crashes_[counted_crashes - 1] + contact_ms);
        if (!crashes_.empty())
            check_sound(crashes_[std::min(counted_crashes, crashes_.size()) - 1] +
                        2 * contact_ms);
        return std::move(breaches_);
    }

private:
    void read_record(json::object const& line)
    {
        auto const event = line.at("event").as_string();
        auto const at_ms = line.at("at_ms").to_number<std::int64_t>();
        if (event == "crashed")
            crashes_.push_back(at_ms);
        else if (event == "arrived")
            arrivals_.push_back({.at_ms = at_ms,
                                 .endpoint = std::string(line.at("endpoint").as_string()),
                                 .attempt = std::string(line.at("attempt").as_string())});
    }

    void check_arrivals(std::int64_t from_ms)
    {
        auto const count =
            std::count_if(arrivals_.begin(), arrivals_.end(),
                          [&](auto const& each)
                          {
                              auto const node = nodes_.find(each.attempt);
                              return each.at_ms >= from_ms && node != nodes_.end() &&
                                     !is_disrupted(evidence_, node->second, each.endpoint,
                                                   each.at_ms, contact_ms);
                          });
        if (static_cast<std::size_t>(count) > allowed_requests)
            breaches_.push_back(
                fmt::format("requests with one part, under which {} engines had crashed, "
                            "reached engines {} times more; {} crashed in all",
                            counted_crashes, count, crashes_.size()));
    }

    [[nodiscard]] begun_share share(std::int64_t from_ms, std::int64_t to_ms) const
    {
        begun_share found;
        for (auto const& request : evidence_.requests)
        {
            if (request.kind != soak_kind::stream || request.crashes_engines ||
                request.after_event != 0 || request.sent_ms < from_ms ||
                request.sent_ms >= to_ms ||
                is_disrupted(evidence_, request.node, {}, request.sent_ms, contact_ms))
                continue;
            ++found.sent;
            found.begun += request.last_event > 0;
        }
        return found;
    }

    void check_sound(std::int64_t from_ms)
    {
        auto const before = share(0, crashes_.front());
        auto const behind = share(from_ms, evidence_.shutdown_ms);
        if (before.sent >= min_compared && behind.sent >= min_compared &&
            behind.value() * 2 < before.value())
            breaches_.push_back(fmt::format("beside requests that crash engines {} of {} "
                                            "sound streams began; {} of {} "
                                            "before the first crash",
                                            behind.begun, behind.sent, before.begun,
                                            before.sent));
    }

    soak_evidence const& evidence_;
    // Node of each request that crashes engines
    std::map<std::string, std::size_t> nodes_;
    // When engines crashed
    std::vector<std::int64_t> crashes_;
    std::vector<arrival> arrivals_;
    std::vector<std::string> breaches_;
};

} // namespace

std::vector<std::string> check_crashing_part(soak_evidence const& evidence)
{
    return part_checker(evidence).check();
}

} // namespace marjorampath::test
