#include <marjorampath/suspect/part_suspect_registry.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <vector>

using namespace marjorampath;
using namespace std::chrono_literals;

namespace
{

// The platform's rules: crashes, time behind them, and requests that may still reach
// engines
constexpr std::size_t counted_crashes = 5;
constexpr duration contact = 3s;
constexpr std::size_t allowed_requests = 3;

constexpr duration step = 5ms;
// Time from a crash until its hosts know of it
constexpr duration probe_time = 20ms;
// Bounds of the time that an answer takes
constexpr int min_answer_ms = 100;
constexpr int max_answer_ms = 2'000;
// Time from the arrival of a request until its engine crashes under it
constexpr int min_crash_ms = 20;
constexpr int max_crash_ms = 300;
constexpr duration downtime = 3s;
// Parts of prompts: one that all requests have, some that many share, rare ones
constexpr std::uint64_t first = 1;
constexpr std::uint64_t shared_parts_end = 20;
constexpr std::uint64_t rare_parts_end = 2'000;
constexpr std::uint64_t bad = 5'000;

// Size of a fleet and its traffic
struct fleet_size
{
    std::size_t hosts = 6;
    std::size_t engines = 9;
    // Sound requests, and requests that crash engines, a second
    double sound_rate = 30;
    double crashing_rate = 4;
    // Interval of the reports between hosts
    duration heartbeat = 200ms;
};

struct running_request
{
    std::size_t host = 0;
    std::vector<prompt_part> parts;
    time_point ends_at;
    bool crashes = false;
};

struct engine
{
    std::vector<running_request> running;
    std::uint64_t process = 0;
    time_point back_at;
};

// Hosts that send requests to engines which crash under one part
class test_fleet
{
public:
    test_fleet(fleet_size const& size, std::uint32_t seed)
        : size_(size), random_(seed), hosts_(size.hosts, part_suspect_registry({})),
          engines_(size.engines)
    {
        for (auto& each : engines_)
            each.process = ++last_process_;
    }

    void run(duration time)
    {
        auto const end = now_ + time;
        for (; now_ < end; now_ += step)
        {
            send_all();
            for (auto& each : engines_)
                run_engine(each);
            confirm_crashes();
            if (now_ >= next_heartbeat_)
                send_heartbeats();
        }
    }

    // Requests with the part that reached engines behind the fifth crash
    [[nodiscard]] std::size_t late_requests() const
    {
        if (crashes_.size() < counted_crashes)
            return 0;
        auto const from = crashes_[counted_crashes - 1] + contact;
        return static_cast<std::size_t>(std::count_if(
            arrivals_.begin(), arrivals_.end(), [&](auto at) { return at >= from; }));
    }

    [[nodiscard]] std::size_t crashes() const
    {
        return crashes_.size();
    }

    // Sound requests that were refused, and all of them
    std::size_t refused_sound = 0;
    std::size_t sound = 0;

private:
    std::size_t draw(std::size_t lowest, std::size_t highest)
    {
        return std::uniform_int_distribution<std::size_t>(lowest, highest)(random_);
    }

    bool chance(double probability)
    {
        return std::uniform_real_distribution<>(0, 1)(random_) < probability;
    }

    void send_all()
    {
        auto const seconds = std::chrono::duration<double>(step).count();
        for (auto left = size_.sound_rate * seconds; left > 0; left -= 1)
            if (chance(std::min(left, 1.0)))
                send(false);
        if (chance(size_.crashing_rate * seconds))
            send(true);
    }

    void send(bool crashes)
    {
        running_request request{
            .host = draw(0, hosts_.size() - 1), .parts = {}, .crashes = crashes};
        request.parts.push_back({.id = first, .tokens = 1});
        auto const id = chance(0.7) ? draw(2, shared_parts_end)
                                    : draw(shared_parts_end, rare_parts_end);
        request.parts.push_back({.id = id, .tokens = 1});
        if (crashes)
            request.parts.push_back({.id = bad, .tokens = 1});
        auto const refused =
            hosts_[request.host].find_conviction(request.parts, now_).has_value();
        sound += !crashes;
        refused_sound += !crashes && refused;
        auto& target = engines_[draw(0, engines_.size() - 1)];
        if (refused || target.back_at > now_)
            return;
        if (crashes)
            arrivals_.push_back(now_);
        request.ends_at = now_ + std::chrono::milliseconds(
                                     crashes ? draw(min_crash_ms, max_crash_ms)
                                             : draw(min_answer_ms, max_answer_ms));
        target.running.push_back(std::move(request));
    }

    void run_engine(engine& each)
    {
        auto const crashed =
            std::any_of(each.running.begin(), each.running.end(),
                        [&](auto const& request)
                        { return request.crashes && request.ends_at <= now_; });
        if (crashed)
        {
            for (auto const& request : each.running)
                hosts_[request.host].on_broken(request.parts, each.process, now_);
            crashes_.push_back(now_);
            unconfirmed_.emplace(now_ + probe_time, each.process);
            each = {
                .running = {}, .process = ++last_process_, .back_at = now_ + downtime};
            return;
        }
        std::erase_if(each.running,
                      [&](auto const& request)
                      {
                          if (request.ends_at > now_)
                              return false;
                          hosts_[request.host].on_sound(request.parts, now_);
                          return true;
                      });
    }

    void confirm_crashes()
    {
        while (!unconfirmed_.empty() && unconfirmed_.begin()->first <= now_)
        {
            for (auto& host : hosts_)
                host.on_crash(unconfirmed_.begin()->second, now_);
            unconfirmed_.erase(unconfirmed_.begin());
        }
    }

    void send_heartbeats()
    {
        next_heartbeat_ = now_ + size_.heartbeat;
        for (std::size_t from = 0; from < hosts_.size(); ++from)
        {
            hosts_[from].forget_old(now_);
            auto const reports = hosts_[from].reports(now_);
            for (std::size_t to = 0; to < hosts_.size(); ++to)
                if (to != from && !chance(loss))
                    for (auto const& report : reports)
                        hosts_[to].merge(report, now_);
        }
    }

    // Share of the datagrams that are lost
    static constexpr double loss = 0.02;

    fleet_size size_;
    std::mt19937 random_;
    time_point now_{1'000s};
    time_point next_heartbeat_;
    std::vector<part_suspect_registry> hosts_;
    std::vector<engine> engines_;
    std::uint64_t last_process_ = 0;
    std::multimap<time_point, std::uint64_t> unconfirmed_;
    std::vector<time_point> crashes_;
    std::vector<time_point> arrivals_;
};

void check(fleet_size const& size, std::uint32_t seed)
{
    BOOST_TEST_CONTEXT("hosts " << size.hosts << ", seed " << seed)
    {
        test_fleet fleet(size, seed);
        fleet.run(30s);
        BOOST_TEST(fleet.crashes() > 0U);
        BOOST_TEST(fleet.late_requests() <= allowed_requests);
        BOOST_TEST(fleet.refused_sound * 100 <= fleet.sound);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(part_suspects_of_a_fleet)

BOOST_AUTO_TEST_CASE(a_part_that_crashes_engines_is_refused_at_all_hosts)
{
    for (std::uint32_t seed = 1; seed <= 40; ++seed)
    {
        check({}, seed);
        check({.crashing_rate = 1.5}, seed);
        check({.hosts = 1, .engines = 4}, seed);
    }
}

BOOST_AUTO_TEST_CASE(a_part_that_crashes_engines_is_refused_in_a_large_fleet)
{
    for (std::uint32_t seed = 1; seed <= 3; ++seed)
        check({.hosts = 91,
               .engines = 90,
               .sound_rate = 600,
               .crashing_rate = 10,
               .heartbeat = 500ms},
              seed);
    check({.hosts = 340,
           .engines = 300,
           .sound_rate = 2'000,
           .crashing_rate = 10,
           .heartbeat = 1'900ms},
          1);
}

BOOST_AUTO_TEST_SUITE_END()
