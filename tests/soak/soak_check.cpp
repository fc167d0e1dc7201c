#include <tests/soak/soak_check.hpp>

#include <boost/json.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace marjorampath::test
{

namespace json = boost::json;

namespace
{

// The platform's bound on how long an older version may be used (`version_ms`), plus the
// longest fault of a schedule, which may keep a node from receiving the update
constexpr std::int64_t version_slack_ms = 5'000 + 3'000;
// The same for requests to an endpoint that leaves (`contactMs`)
constexpr std::int64_t leave_slack_ms = 4'000 + 3'000;
// Age from which a lease holder must know of a run and not unload its adapter: several
// heartbeats
constexpr std::int64_t min_known_run_ms = 1'000;

// One execution of a request at an endpoint
struct run
{
    std::string endpoint;
    std::string adapter;
    std::uint64_t version = 0;
    std::int64_t at_ms = 0;
};

// Compares the records of the endpoints with the answers that callers received
class checker
{
public:
    explicit checker(soak_evidence const& evidence) : evidence_(evidence) {}

    std::vector<std::string> check()
    {
        for (auto const& line : evidence_.records)
            read_record(json::parse(line).as_object());
        for (auto const& request : evidence_.requests)
            check(request);
        check_orders();
        check_streams();
        return std::move(breaches_);
    }

private:
    static std::string text_member(json::object const& line, char const* name)
    {
        auto const* found = line.if_contains(name);
        return found ? std::string(found->as_string()) : std::string();
    }

    static std::int64_t number_member(json::object const& line, char const* name)
    {
        auto const* found = line.if_contains(name);
        return found ? found->to_number<std::int64_t>() : 0;
    }

    void read_record(json::object const& line)
    {
        auto const event = text_member(line, "event");
        auto const endpoint = text_member(line, "endpoint");
        if (event == "run")
            runs_[text_member(line, "attempt")].push_back(
                {.endpoint = endpoint,
                 .adapter = text_member(line, "adapter"),
                 .version = static_cast<std::uint64_t>(number_member(line, "version")),
                 .at_ms = number_member(line, "at_ms")});
        else if (event == "order")
            orders_[endpoint].emplace_back(number_member(line, "at_ms"),
                                           number_member(line, "token"),
                                           text_member(line, "holder"));
        else if (event == "overfull")
            breach("{} got load orders for more adapters than it has slots", endpoint);
        else if (event == "unload_in_use" &&
                 number_member(line, "age_ms") >= min_known_run_ms)
            breach("{} got an unload order for {}, in use for {} ms", endpoint,
                   text_member(line, "adapter"), number_member(line, "age_ms"));
    }

    void check(soak_request const& request)
    {
        auto const found = runs_.find(request.attempt);
        auto const runs = found == runs_.end() ? std::vector<run>() : found->second;
        constexpr std::array not_run_statuses{408U, 421U, 429U, 503U};
        auto const reported_not_run =
            std::find(not_run_statuses.begin(), not_run_statuses.end(), request.status) !=
            not_run_statuses.end();
        if (request.status == 200 && request.ended && !request.correct)
            breach("{} got a complete but incorrect answer", request.attempt);
        if (reported_not_run && !runs.empty())
            breach("{} was answered {}, which means not run, but ran at {}",
                   request.attempt, request.status, runs.front().endpoint);
        if (request.kind == soak_kind::unsafe && runs.size() > 1)
            breach("{} ran {} times", request.attempt, runs.size());
        for (auto const& each : runs)
            check(request, each);
    }

    void check(soak_request const& request, run const& each)
    {
        if (each.adapter != request.adapter)
            breach("{} requested adapter {} but ran with {}", request.attempt,
                   request.adapter, each.adapter);
        for (auto const& announced : evidence_.versions)
            if (announced.adapter == request.adapter &&
                announced.at_ms + version_slack_ms < each.at_ms &&
                each.version < announced.version)
                breach(
                    "{} ran with version {} of {}, {} ms after version {} was announced",
                    request.attempt, each.version, request.adapter,
                    each.at_ms - announced.at_ms, announced.version);
        for (auto const& leave : evidence_.leaves)
            if (leave.endpoint == each.endpoint &&
                leave.at_ms + leave_slack_ms < each.at_ms)
                breach("{} ran at {}, {} ms after that endpoint announced that it leaves",
                       request.attempt, each.endpoint, each.at_ms - leave.at_ms);
    }

    void check_orders()
    {
        for (auto& [endpoint, orders] : orders_)
        {
            for (std::size_t index = 1; index < orders.size(); ++index)
            {
                auto const& [previous_ms, previous_token, previous_holder] =
                    orders[index - 1];
                auto const& [at_ms, token, holder] = orders[index];
                if (token < previous_token ||
                    (token == previous_token && holder != previous_holder))
                    breach("{} got an order of {} with token {} after one of {} with "
                           "token {}",
                           endpoint, holder, token, previous_holder, previous_token);
            }
        }
    }

    // A stream may go on only at the software version that began it
    void check_streams()
    {
        std::map<std::string, std::set<std::string>> software;
        for (auto const& request : evidence_.requests)
            software[request.stream.empty() ? request.attempt : request.stream].insert(
                request.software.begin(), request.software.end());
        for (auto const& [stream, versions] : software)
            if (versions.size() > 1)
                breach("stream {} holds events of {} software versions", stream,
                       versions.size());
    }

    template <class... Values>
    void breach(fmt::format_string<Values...> format, Values&&... values)
    {
        breaches_.push_back(fmt::format(format, std::forward<Values>(values)...));
    }

    soak_evidence const& evidence_;
    std::vector<std::string> breaches_;
    // Runs by attempt
    std::map<std::string, std::vector<run>> runs_;
    // Orders by endpoint: time, token and holder
    std::map<std::string,
             std::vector<std::tuple<std::int64_t, std::int64_t, std::string>>>
        orders_;
};

} // namespace

bool is_disrupted(soak_evidence const& evidence, std::size_t node,
                  std::string const& endpoint, std::int64_t at_ms, std::int64_t slack_ms)
{
    return std::any_of(
        evidence.disruptions.begin(), evidence.disruptions.end(),
        [&](auto const& disrupted)
        {
            return disrupted.node == node &&
                   (disrupted.endpoint.empty() || disrupted.endpoint == endpoint) &&
                   at_ms >= disrupted.from_ms && at_ms <= disrupted.to_ms + slack_ms;
        });
}

std::vector<std::string> check_promises(soak_evidence const& evidence)
{
    return checker(evidence).check();
}

} // namespace marjorampath::test
