#include <tests/unit/fleet/fleet_faults.hpp>
#include <tests/unit/fleet/mock_fleet.hpp>
#include <tests/unit/fleet/schedule_seeds.hpp>

#include <boost/test/unit_test.hpp>

#include <map>
#include <set>
#include <string>

using namespace marjorampath;
using namespace marjorampath::test;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(fleet)

namespace
{

/// Callers that send keyed requests, several times and at several hosts, while the fleet
/// suffers faults.
class key_schedule
{
public:
    explicit key_schedule(std::uint64_t seed, fleet_options const& options)
        : fleet_(seed, options), faults_(fleet_)
    {
        fleet_.on_decided = [this](std::size_t at, key_decided const& decided)
        { on_decided(at, decided); };
    }

    bool run(duration end)
    {
        next_call_ = 3s;
        while (fleet_.network.step(end))
        {
            faults_.on_step();
            if (fleet_.network.now() >= next_call_)
                call();
            if (!failure.empty())
                return false;
        }
        return true;
    }

    std::string failure;
    std::uint64_t ran = 0;
    std::uint64_t replayed = 0;
    std::uint64_t unknown = 0;

private:
    struct used_key
    {
        // First use
        duration first{0};
        // Whether the key carries its time
        bool timed = false;
        // Number of attempts that may have run
        int runs = 0;
        // Answer of the attempt that ran
        std::string answer;
    };

    // Sends a request with a new key, or again with one in use
    void call()
    {
        auto& network = fleet_.network;
        next_call_ = network.now() + network.pick(duration(20ms), duration(200ms));
        auto const running = fleet_.running();
        if (running.empty())
            return;
        auto const last = static_cast<std::int64_t>(running.size()) - 1;
        auto const at = running[static_cast<std::size_t>(network.pick(0, last))];
        auto const newest = static_cast<std::int64_t>(keys_.size());
        auto const number =
            newest == 0 || network.chance(300)
                ? newest
                : network.pick(std::max<std::int64_t>(0, newest - 8), newest - 1);
        if (number == newest)
            keys_.push_back({.first = network.now(),
                             .timed = network.chance(700),
                             .runs = 0,
                             .answer = {}});
        auto const& used = keys_[static_cast<std::size_t>(number)];

        // A key is not used again near the end of its lifetime
        if (network.now() - used.first > 6s)
            return;
        send(at, static_cast<std::size_t>(number));
    }

    void send(std::size_t at, std::size_t number)
    {
        auto& network = fleet_.network;
        auto& process = *fleet_.places[at].process;
        auto const& used = keys_[number];
        key_begin begin;
        begin.key = key_id::of("key-" + std::to_string(number));
        begin.shard = fleet_.resources[number % fleet_.resources.size()].resource;
        begin.fingerprint = fingerprint_id(number + 1);
        begin.request = request_id(++requests_);
        if (used.timed)
            begin.key_time = std::chrono::duration_cast<wall_milliseconds>(
                1'700'000'000s + used.first + network.pick(duration(-2s), duration(2s)));
        asked_[begin.request] = number;
        key_actions actions;
        auto const home = process.holder.owner_hint(begin.shard, fleet_.clock(at));
        process.entry.begin(fleet_.clock(at), begin, home, actions);
        fleet_.run(at, actions);

        // The caller's deadline
        auto const generation = fleet_.places[at].generation;
        network.after(network.pick(duration(300ms), duration(2s)), at,
                      [this, at, generation, request = begin.request]
                      { give_up(at, generation, request); });
    }

    void give_up(std::size_t at, int generation, request_id request)
    {
        if (fleet_.places[at].generation != generation)
            return;
        key_actions actions;
        auto const given_up =
            fleet_.places[at].process->entry.give_up(fleet_.clock(at), request, actions);
        fleet_.run(at, actions);
        if (!given_up)
            return;
        not_run_.insert(request);
        if (started_.contains(request))
            failure = "not-run for a request that ran";
    }

    void on_decided(std::size_t at, key_decided const& decided)
    {
        auto& used = keys_[asked_.at(decided.request)];
        if (decided.verdict == key_verdict::unknown)
            ++unknown;
        if (decided.verdict == key_verdict::replay)
        {
            ++replayed;
            if (decided.answer != used.answer)
                failure = "another answer than that of the run";
        }
        if (decided.verdict != key_verdict::run)
            return;
        if (not_run_.contains(decided.request))
            failure = "a request ran after not-run";

        // Some attempts turn out not to have run, for certain
        auto const certain_not_run = fleet_.network.chance(150);
        if (!certain_not_run)
        {
            started_.insert(decided.request);
            ++ran;
            if (++used.runs > 1)
                failure = "a key ran twice";
            used.answer = "answer " + std::to_string(decided.request.number());
        }
        auto const state = certain_not_run              ? key_state::not_run
                           : fleet_.network.chance(100) ? key_state::unknown
                                                        : key_state::answered;
        auto const generation = fleet_.places[at].generation;
        auto const answer = state == key_state::answered ? used.answer : std::string();
        fleet_.network.after(
            fleet_.network.pick(duration(5ms), duration(800ms)), at,
            [this, at, generation, request = decided.request, state, answer]
            {
                if (fleet_.places[at].generation != generation)
                    return;
                key_actions actions;
                fleet_.places[at].process->entry.complete(fleet_.clock(at), request,
                                                          state, answer, actions);
                fleet_.run(at, actions);
            });
    }

    mock_fleet fleet_;
    fleet_faults faults_;
    std::vector<used_key> keys_;
    std::map<request_id, std::size_t> asked_;
    std::set<request_id> not_run_;
    std::set<request_id> started_;
    std::uint64_t requests_ = 0;
    duration next_call_{0};
};

} // namespace

BOOST_AUTO_TEST_CASE(no_key_runs_twice_under_faults)
{
    std::uint64_t ran = 0;
    std::uint64_t replayed = 0;
    std::uint64_t unknown = 0;
    for (auto const seed : schedule_seeds(1, 500))
    {
        fleet_options options;
        options.with_keys = true;
        options.keys.lifetime = 16s;
        options.leases.witnesses_per_zone = seed % 2 == 0 ? 1 : 2;
        key_schedule schedule(seed, options);
        BOOST_TEST_REQUIRE(schedule.run(40s),
                           "seed " << seed << ": " << schedule.failure);
        ran += schedule.ran;
        replayed += schedule.replayed;
        unknown += schedule.unknown;
    }
    BOOST_TEST_MESSAGE("requests that ran: " << ran << ", replayed: " << replayed
                                             << ", unknown: " << unknown);
    BOOST_TEST(ran > 0U);
    BOOST_TEST(replayed > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
