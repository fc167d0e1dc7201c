#include <tests/soak/limit_check.hpp>
#include <tests/soak/soak_check.hpp>

#include <boost/json.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <optional>

namespace marjorampath::test
{

namespace json = boost::json;

namespace
{

// The platform's bounds: time from the first answer with a limit until it must be kept,
// time from its answer to a node until that node is counted, window, and allowed requests
constexpr std::int64_t contact_ms = 4'000;
constexpr std::int64_t notice_ms = 500;
constexpr std::int64_t window_ms = 4'000;
constexpr double allowed_factor = 1.5;
constexpr double allowed_extra = 5;

// One request that reached an endpoint
struct arrival
{
    std::int64_t at_ms = 0;
    std::size_t node = 0;
};

// One endpoint's limit and what it got while the limit was in force
struct limit_period
{
    std::int64_t from_ms = 0;
    double rate = 0;
    // When the endpoint first told each node
    std::map<std::size_t, std::int64_t> told;
    // Requests from nodes that it had told, which count
    std::vector<arrival> counted;
};

// Follows the records of the endpoints in the order in which they were written
class limit_checker
{
public:
    explicit limit_checker(soak_evidence const& evidence) : evidence_(evidence)
    {
        for (auto const& request : evidence.requests)
            nodes_[request.attempt] = request.node;
    }

    std::vector<std::string> check()
    {
        for (auto const& line : evidence_.records)
            read_record(json::parse(line).as_object());
        for (auto const& [endpoint, period] : periods_)
            check(endpoint, period);
        return std::move(breaches_);
    }

private:
    void read_record(json::object const& line)
    {
        auto const event = std::string(line.at("event").as_string());
        auto const endpoint = std::string(line.at("endpoint").as_string());
        auto const at_ms = line.at("at_ms").to_number<std::int64_t>();
        if (event == "rate_limit")
        {
            auto const found = periods_.find(endpoint);
            if (found != periods_.end())
                check(endpoint, found->second);
            periods_.erase(endpoint);
            if (auto const rate = line.at("rate").to_number<double>(); rate > 0)
                periods_[endpoint] = {.from_ms = at_ms, .rate = rate};
        }
        else if (event == "arrived" && line.at("limited").as_bool())
        {
            auto const node = nodes_.find(std::string(line.at("attempt").as_string()));
            if (node != nodes_.end())
                add(endpoint, {.at_ms = at_ms, .node = node->second});
        }
    }

    void add(std::string const& endpoint, arrival const& each)
    {
        auto const found = periods_.find(endpoint);
        if (found == periods_.end())
            return;
        auto& period = found->second;
        auto const told = period.told.emplace(each.node, each.at_ms).first->second;
        if (each.at_ms >= period.from_ms + contact_ms && each.at_ms >= told + notice_ms &&
            !is_disrupted(evidence_, each.node, endpoint, each.at_ms, contact_ms))
            period.counted.push_back(each);
    }

    // Reports the window with the most requests if they are too many
    void check(std::string const& endpoint, limit_period const& period)
    {
        auto const allowed =
            allowed_factor * period.rate * window_ms / 1'000 + allowed_extra;
        auto const& counted = period.counted;
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; last < counted.size(); ++last)
        {
            while (counted[last].at_ms - counted[first].at_ms > window_ms)
                ++first;
            most = std::max(most, last - first + 1);
        }
        if (static_cast<double>(most) > allowed)
            breaches_.push_back(
                fmt::format("{} had named a limit of {:.1f} a second and got {} requests "
                            "in {} ms from nodes that it had told; {:.0f} allowed",
                            endpoint, period.rate, most, window_ms, allowed));
    }

    soak_evidence const& evidence_;
    // Node of each attempt
    std::map<std::string, std::size_t> nodes_;
    // Limits in force, by endpoint
    std::map<std::string, limit_period> periods_;
    std::vector<std::string> breaches_;
};

} // namespace

std::vector<std::string> check_limits(soak_evidence const& evidence)
{
    return limit_checker(evidence).check();
}

} // namespace marjorampath::test
