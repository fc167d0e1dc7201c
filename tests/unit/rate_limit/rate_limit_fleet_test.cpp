#include <marjorampath/peer/peer_table.hpp>
#include <marjorampath/rate_limit/rate_limit_coordinator.hpp>

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

using namespace marjorampath;
using namespace std::chrono_literals;

namespace
{

// The platform's rule: time from the first answer with a limit until it must be kept,
// time from its answer to a host until that host is counted, window, allowed requests
constexpr duration contact = 3s;
constexpr duration notice = 500ms;
constexpr duration window = 4s;
constexpr double allowed_factor = 1.5;
constexpr double allowed_extra = 5;

constexpr duration step = 5ms;
// Time of a datagram, of a request to the endpoint and of its answer
constexpr duration latency = 5ms;
// Requests that callers bring, as a multiple of the endpoint's limit
constexpr double demand_factor = 10;
constexpr duration permit_retry_pause = 100ms;

time_point const begin{1'000s};
endpoint_id const endpoint = endpoint_id::of("engine");

host_id host_of(std::uint32_t index)
{
    return host_id::of(fmt::format("host-{}", index));
}

peer_address address_of(std::uint32_t index)
{
    return {.address = index + 1, .port = 9};
}

// One host: its view of the others, its part in the limit, and what it knows of when the
// next permit can be had
struct test_host
{
    test_host(std::uint32_t index, std::uint64_t incarnation)
        : self{.host = host_of(index),
               .zone = zone_id::of("z"),
               .incarnation = incarnation,
               .address = address_of(index)},
          peers(self, {address_of(0), address_of(1), address_of(2)}, {}),
          limits(self.host, {})
    {
    }

    peer_heartbeat self;
    peer_table peers;
    rate_limit_coordinator limits;
    time_point next_permit_at{};
    time_point next_heartbeat_at{};
    // When the endpoint first told this process of its limit
    std::optional<time_point> told_at;
};

// Hosts that share one endpoint, with datagrams that are lost, cuts between hosts, and
// hosts that restart
class test_fleet
{
public:
    test_fleet(std::uint32_t hosts, double limit, std::uint32_t seed)
        : limit_(limit), random_(seed), group_(hosts, 0)
    {
        for (std::uint32_t index = 0; index < hosts; ++index)
            hosts_.push_back(std::make_unique<test_host>(index, 1));
    }

    void run_until(time_point end)
    {
        for (; now_ < end; now_ += step)
        {
            while (!due_.empty() && due_.begin()->first <= now_)
            {
                auto const action = std::move(due_.begin()->second);
                due_.erase(due_.begin());
                action();
            }
            for (std::uint32_t index = 0; index < hosts_.size(); ++index)
                run_host(index);
        }
    }

    // The endpoint names its limit from now on
    void name_limit()
    {
        limited_ = true;
    }

    void restart(std::uint32_t index)
    {
        hosts_[index] =
            std::make_unique<test_host>(index, hosts_[index]->self.incarnation + 1);
    }

    // Cuts hosts of different groups from each other
    void set_group(std::uint32_t index, int group)
    {
        group_[index] = group;
    }

    [[nodiscard]] std::uint32_t size() const
    {
        return static_cast<std::uint32_t>(hosts_.size());
    }

    // Most requests in a window from hosts that the endpoint had told
    [[nodiscard]] std::size_t most_in_window() const
    {
        std::size_t most = 0;
        for (std::size_t first = 0, last = 0; last < counted_.size(); ++last)
        {
            while (counted_[last] - counted_[first] > window)
                ++first;
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    // Requests that reached the endpoint since a time
    [[nodiscard]] std::size_t arrived_since(time_point from) const
    {
        return static_cast<std::size_t>(std::count_if(
            arrivals_.begin(), arrivals_.end(), [&](auto at) { return at >= from; }));
    }

private:
    [[nodiscard]] bool chance(double probability)
    {
        return std::uniform_real_distribution<>(0, 1)(random_) < probability;
    }

    [[nodiscard]] std::uint32_t index_of(host_id host) const
    {
        std::uint32_t index = 0;
        while (host_of(index) != host)
            ++index;
        return index;
    }

    // Delivers a datagram, unless it is lost
    void send(std::uint32_t from, std::uint32_t to, std::function<void()> action)
    {
        constexpr double loss = 0.02;
        if (group_[from] == group_[to] && !chance(loss))
            due_.emplace(now_ + latency, std::move(action));
    }

    void run_host(std::uint32_t index)
    {
        auto& host = *hosts_[index];
        if (now_ >= host.next_heartbeat_at)
        {
            host.next_heartbeat_at = now_ + host.peers.heartbeat_interval();
            send_heartbeats(index);
        }
        auto const per_host = limit_ * demand_factor / static_cast<double>(hosts_.size());
        if (chance(per_host * std::chrono::duration<double>(step).count()))
            serve(index);
    }

    void send_heartbeats(std::uint32_t index)
    {
        auto& host = *hosts_[index];
        host.peers.on_tick(now_);
        auto heartbeat = host.self;
        heartbeat.rate_limits = host.limits.reported(host.peers, now_);
        for (auto const& address : host.peers.targets(now_))
        {
            auto const to = address.address - 1;
            if (to >= hosts_.size())
                continue;
            heartbeat.mentions = host.peers.mentions(host_of(to));
            send(index, to,
                 [this, to, heartbeat]
                 {
                     hosts_[to]->peers.on_heartbeat(heartbeat, now_);
                     for (auto const& each : heartbeat.rate_limits)
                         hosts_[to]->limits.apply(each, now_);
                 });
        }
    }

    // Serves a caller's request at the endpoint if that is allowed
    void serve(std::uint32_t index)
    {
        auto& host = *hosts_[index];
        if (host.limits.limit_of(endpoint) && now_ < host.next_permit_at)
            return;
        auto const permit = host.limits.request_permit(endpoint, host.peers, now_);
        if (permit.granted)
            return send_request(index);
        host.next_permit_at = now_ + (permit.ask ? permit_retry_pause : permit.wait);
        if (!permit.ask)
            return;
        auto const owner = index_of(permit.ask);
        permit_request const request{.limit = host.limits.notice_of(endpoint, now_)};
        send(index, owner,
             [this, index, owner, request]
             { answer_permit_request(owner, index, request); });
    }

    void answer_permit_request(std::uint32_t owner, std::uint32_t to,
                               permit_request const& request)
    {
        auto& host = *hosts_[owner];
        host.limits.apply(request.limit, now_);
        auto const reply = host.limits.on_request(request, host.peers, now_);
        send(owner, to,
             [this, to, reply]
             {
                 hosts_[to]->limits.apply(reply.limit, now_);
                 hosts_[to]->next_permit_at = now_ + reply.wait;
                 if (reply.granted)
                     send_request(to);
             });
    }

    // Sends a request, which arrives and is answered; cuts are between hosts only
    void send_request(std::uint32_t index)
    {
        auto const& process = *hosts_[index];
        arrivals_.push_back(now_);
        if (limited_ && first_named_at_ && now_ >= *first_named_at_ + contact &&
            process.told_at && now_ >= *process.told_at + notice)
            counted_.push_back(now_);
        if (!limited_)
            return;
        first_named_at_ = first_named_at_.value_or(now_);
        due_.emplace(now_ + latency,
                     [this, index, incarnation = process.self.incarnation]
                     {
                         auto& host = *hosts_[index];
                         if (host.self.incarnation == incarnation)
                             on_answer(index);
                     });
    }

    void on_answer(std::uint32_t index)
    {
        auto& host = *hosts_[index];
        host.told_at = host.told_at.value_or(now_);
        rate_limit_notice const said{
            .endpoint = endpoint, .started_at_ms = 1, .rate = limit_};
        if (!host.limits.apply(said, now_))
            return;
        auto const owner = index_of(choose_permit_owner(host.peers, endpoint, now_).host);
        if (owner != index)
            send(index, owner,
                 [this, owner, said] { hosts_[owner]->limits.apply(said, now_); });
    }

    double limit_;
    std::mt19937 random_;
    std::vector<int> group_;
    std::vector<std::unique_ptr<test_host>> hosts_;
    time_point now_ = begin;
    std::multimap<time_point, std::function<void()>> due_;
    bool limited_ = false;
    std::optional<time_point> first_named_at_;
    std::vector<time_point> arrivals_;
    std::vector<time_point> counted_;
};

void check_limit(test_fleet const& fleet, double limit, std::uint32_t seed)
{
    auto const allowed =
        allowed_factor * limit * std::chrono::duration<double>(window).count() +
        allowed_extra;
    BOOST_TEST(static_cast<double>(fleet.most_in_window()) <= allowed,
               fleet.most_in_window()
                   << " requests in a window, " << allowed << " allowed; hosts "
                   << fleet.size() << ", limit " << limit << ", seed " << seed);
}

constexpr std::uint32_t seeds = 12;

} // namespace

BOOST_AUTO_TEST_SUITE(rate_limits_of_a_fleet)

BOOST_AUTO_TEST_CASE(hosts_share_one_limit_and_use_it)
{
    for (std::uint32_t const hosts : {1U, 6U, 91U})
        for (std::uint32_t seed = 1; seed <= seeds / 4; ++seed)
            for (auto const limit : {1.0, 8.0})
            {
                test_fleet fleet(hosts, limit, seed);
                fleet.run_until(begin + 3s);
                fleet.name_limit();
                fleet.run_until(begin + 18s);
                check_limit(fleet, limit, seed);

                // Half of the rate at least is used once the hosts know it
                BOOST_TEST(static_cast<double>(fleet.arrived_since(begin + 8s)) >=
                           limit * 10 / 2);
            }
}

BOOST_AUTO_TEST_CASE(hosts_that_restart_keep_the_limit)
{
    for (std::uint32_t seed = 1; seed <= seeds; ++seed)
    {
        constexpr double limit = 2;
        test_fleet fleet(6, limit, seed);
        fleet.run_until(begin + 3s);
        fleet.name_limit();
        std::mt19937 random(seed);
        for (auto at = begin + 5s; at < begin + 20s; at += 700ms)
        {
            fleet.run_until(at);
            fleet.restart(static_cast<std::uint32_t>(random()) % fleet.size());
        }
        fleet.run_until(begin + 25s);
        check_limit(fleet, limit, seed);
    }
}

// Each group names an issuer of its own; together they must not use more than the limit
BOOST_AUTO_TEST_CASE(groups_of_hosts_that_are_cut_from_each_other_keep_the_limit)
{
    for (std::uint32_t seed = 1; seed <= seeds; ++seed)
    {
        constexpr double limit = 8;
        test_fleet fleet(9, limit, seed);
        fleet.run_until(begin + 3s);
        fleet.name_limit();
        fleet.run_until(begin + 7s);
        for (std::uint32_t index = 0; index < fleet.size(); ++index)
            fleet.set_group(index, static_cast<int>(index % 3));
        fleet.run_until(begin + 15s);
        for (std::uint32_t index = 0; index < fleet.size(); ++index)
            fleet.set_group(index, 0);
        fleet.run_until(begin + 20s);
        check_limit(fleet, limit, seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
