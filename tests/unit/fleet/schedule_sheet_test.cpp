#include <marjorampath/gossip/sheet_spread.hpp>
#include <tests/unit/fleet/mock_network.hpp>
#include <tests/unit/fleet/schedule_seeds.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>
#include <string>

using namespace marjorampath;
using namespace marjorampath::test;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t hosts = 6;

/// Hosts that learn of sheets from each other and from a configuration service that is
/// often down or stale.
class sheet_schedule
{
public:
    explicit sheet_schedule(std::uint64_t seed) : network_(seed, hosts)
    {
        for (std::size_t index = 0; index < hosts; ++index)
        {
            processes_.emplace_back();
            start(index);
        }
    }

    bool run(duration end)
    {
        while (network_.step(end) && !broken)
        {
        }
        return !broken;
    }

    /// Whether every host has the latest sheet.
    [[nodiscard]] bool converged() const
    {
        return std::all_of(processes_.begin(), processes_.end(),
                           [&](auto const& process)
                           { return process.spread->number() == published_; });
    }

    /// Ends all faults.
    void heal()
    {
        network_.faults = {};
        healed_ = true;
        for (std::size_t index = 0; index < hosts; ++index)
            network_.set_group(index, 0);
    }

    bool broken = false;

private:
    struct process
    {
        std::unique_ptr<sheet_spread> spread;
        int generation = 0;
        std::uint64_t highest = 0;
        std::uint64_t incarnation = 0;
    };

    static host_id host_of(std::size_t index)
    {
        return host_id::of("host-" + std::to_string(index));
    }

    [[nodiscard]] time_point now() const
    {
        return time_point(1h + network_.now());
    }

    void start(std::size_t index)
    {
        auto& process = processes_[index];
        ++process.generation;
        process.highest = 0;
        process.incarnation = ++incarnations_;
        process.spread =
            std::make_unique<sheet_spread>(host_of(index), sheet_spread_options{}, now());
        network_.after(network_.pick(duration{0}, 100ms), index,
                       [this, index, generation = process.generation]
                       { tick(index, generation); });
    }

    void tick(std::size_t index, int generation)
    {
        auto& process = processes_[index];
        if (process.generation != generation)
            return;
        std::vector<known_host> known;
        for (std::size_t other = 0; other < processes_.size(); ++other)
        {
            known.emplace_back();
            known.back().record.host = host_of(other);
            known.back().record.incarnation = processes_[other].incarnation;
        }
        process.spread->set_hosts(known);
        sheet_spread_actions actions;
        process.spread->on_tick(now(), actions);
        run(index, actions);

        // Gossip to one host
        auto const peer = static_cast<std::size_t>(network_.pick(0, hosts - 1));
        tell(index, peer);
        if (process.spread->watching() && network_.chance(300))
            read(index);
        if (index == 0 && !healed_)
            cause_faults();
        network_.after(100ms, index,
                       [this, index, generation] { tick(index, generation); });
    }

    void tell(std::size_t from, std::size_t to)
    {
        auto const number = processes_[from].spread->number();
        network_.send(from, to,
                      [this, from, to, number]
                      {
                          sheet_spread_actions next;
                          processes_[to].spread->on_peer_number(now(), host_of(from),
                                                                number, number, next);
                          run(to, next);
                      });
    }

    // The configuration service is down, stale or up to date
    void read(std::size_t index)
    {
        if (!healed_ && network_.chance(300))
            return;
        auto const stale = !healed_ && network_.chance(300);
        auto const number = stale ? published_ / 2 : published_;
        sheet_spread_actions next;
        processes_[index].spread->on_sheet_checked(number, number, next);
        run(index, next);
    }

    void run(std::size_t index, sheet_spread_actions const& actions)
    {
        for (auto const& action : actions)
        {
            if (auto const* ask = std::get_if<request_sheet_from_peer>(&action))
                fetch(index, ask->peer);
            if (auto const* install = std::get_if<install_sheet>(&action))
            {
                broken = broken || install->number <= processes_[index].highest;
                processes_[index].highest = install->number;
            }
        }
    }

    void fetch(std::size_t index, host_id peer)
    {
        std::size_t from = 0;
        while (host_of(from) != peer)
            ++from;
        network_.send(index, from,
                      [this, index, from]
                      {
                          auto const number = processes_[from].spread->number();
                          network_.send(from, index,
                                        [this, index, from, number]
                                        { take(index, from, number); });
                      });
    }

    void take(std::size_t index, std::size_t from, std::uint64_t number)
    {
        sheet_spread_actions next;
        auto& spread = *processes_[index].spread;
        spread.on_sheet_checked(number, number, next);
        spread.on_peer_request_done(now(), host_of(from), next);
        run(index, next);
    }

    void cause_faults()
    {
        network_.faults = {.lost = 100, .doubled = 50, .delayed = 100};
        if (network_.chance(100))
            ++published_;
        auto const victim = static_cast<std::size_t>(network_.pick(0, hosts - 1));
        if (network_.chance(20))
            start(victim);
        if (network_.chance(20))
            network_.pause(victim, network_.pick(duration(100ms), duration(3s)));
        if (network_.chance(40))
            network_.set_group(victim, static_cast<int>(network_.pick(0, 1)));
    }

    mock_network network_;
    std::vector<process> processes_;
    std::uint64_t published_ = 1;
    std::uint64_t incarnations_ = 0;
    bool healed_ = false;
};

} // namespace

BOOST_AUTO_TEST_SUITE(fleet)

BOOST_AUTO_TEST_CASE(a_sheet_never_falls_and_reaches_every_host)
{
    for (auto const seed : schedule_seeds(1, 300))
    {
        sheet_schedule schedule(seed);
        BOOST_TEST_REQUIRE(schedule.run(20s), "seed " << seed << ": a number fell");
        schedule.heal();
        BOOST_TEST_REQUIRE(schedule.run(28s), "seed " << seed << ": a number fell");
        BOOST_TEST_REQUIRE(schedule.converged(), "seed " << seed << ": not everywhere");
    }
}

BOOST_AUTO_TEST_SUITE_END()
