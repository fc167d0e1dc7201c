#include <marjorampath/deployment/endpoint_catalog.hpp>
#include <marjorampath/operator_data/operator_items.hpp>

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace marjorampath;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint32_t histories = 10'000;
constexpr int steps = 120;
constexpr std::uint32_t endpoint_count = 4;
constexpr std::uint32_t item_count = 3;
constexpr std::size_t host_count = 3;
// The grace period of the catalogue, and a step more
constexpr duration settle_time = 2'600ms;
constexpr duration step_time = 100ms;
constexpr std::size_t kept_answers = 12;

// The contents of the store
struct contents
{
    store_position position{.era = 1, .revision = 1};
    std::map<std::string, operator_items::item> items;
    std::map<endpoint_id, endpoint_announcement> endpoints;
};

// An answer of the store, which may arrive late
struct store_answer
{
    contents state;
    time_point read_at;
};

struct host
{
    operator_items items;
    endpoint_catalog catalog{{}};
    // The last listing, as it is passed on
    std::vector<endpoint_announcement> listing;
    // Highest versions in force
    std::map<std::string, std::uint64_t> versions;
    // Processes that were seen draining or gone, by their start
    std::map<endpoint_id, std::uint64_t> left;
};

// A store, its writers and the hosts that read it, in one random order of events
class history
{
public:
    explicit history(std::uint32_t seed) : random_(seed) {}

    void run()
    {
        for (int index = 0; index < steps; ++index)
        {
            now_ += step_time;
            step();
            check_hosts();
        }
        settle();
    }

private:
    std::uint32_t draw(std::uint32_t below)
    {
        return static_cast<std::uint32_t>(random_() % below);
    }

    static std::string key(std::uint32_t index)
    {
        return fmt::format("item-{}", index);
    }

    static endpoint_id name(std::uint32_t index)
    {
        return endpoint_id::of(fmt::format("e-{}", index));
    }

    void step()
    {
        switch (draw(9))
        {
        case 0:
            return publish(key(draw(item_count)), ++version_);
        case 1:
            return change_endpoint(draw(endpoint_count));
        case 2:
            copy_ = store_;
            return;
        case 3:
            if (draw(4) == 0)
                restore();
            return;
        case 4:
            return relay(hosts_[draw(host_count)], hosts_[draw(host_count)]);
        case 5:
            // A late answer
            if (!answers_.empty())
                apply(hosts_[draw(host_count)],
                      answers_[draw(static_cast<std::uint32_t>(answers_.size()))]);
            return;
        case 6:
            // A host that starts knows nothing
            if (draw(20) == 0)
                hosts_[draw(host_count)] = host();
            return;
        default:
            return read(hosts_[draw(host_count)]);
        }
    }

    store_position next_position()
    {
        ++store_.position.revision;
        return store_.position;
    }

    void publish(std::string const& item, std::uint64_t version)
    {
        written_[item] = version;
        store_.items[item] = {.position = next_position(),
                              .version = version,
                              .value = fmt::to_string(version)};
    }

    void write(endpoint_announcement entry)
    {
        entry.position = next_position();
        store_.endpoints[entry.id] = std::move(entry);
    }

    // An endpoint starts, reports that it leaves or ends
    void change_endpoint(std::uint32_t index)
    {
        auto const id = name(index);
        auto const found = live_.find(id);
        if (found == live_.end())
        {
            live_[id] = {.id = id,
                         .name = fmt::to_string(index),
                         .started_at_ms = ++starts_,
                         .address = "10.0.0.1",
                         .port = 1};
            return write(live_[id]);
        }
        if (!found->second.draining)
        {
            found->second.draining = true;
            return write(found->second);
        }
        live_.erase(found);
        store_.endpoints.erase(id);
        next_position();
    }

    // The store returns from the copy; the writers write again what was lost
    void restore()
    {
        auto const era = store_.position.era;
        store_ = copy_;
        store_.position.era = era + 1;
        for (auto& [item, value] : store_.items)
            value.position.era = store_.position.era;
        for (auto& [id, entry] : store_.endpoints)
            entry.position.era = store_.position.era;
        if (draw(2) == 0)
            read(hosts_[draw(host_count)]);
        write_again();
    }

    void write_again()
    {
        for (auto const& [item, version] : written_)
        {
            auto const stored = store_.items.find(item);
            if (stored == store_.items.end() || stored->second.version != version)
                publish(item, version);
        }
        for (std::uint32_t index = 0; index < endpoint_count; ++index)
        {
            auto const id = name(index);
            auto const live = live_.find(id);
            auto const stored = store_.endpoints.find(id);
            if (live == live_.end() && stored != store_.endpoints.end())
            {
                store_.endpoints.erase(stored);
                next_position();
            }
            if (live != live_.end() &&
                (stored == store_.endpoints.end() ||
                 stored->second.started_at_ms != live->second.started_at_ms ||
                 stored->second.draining != live->second.draining))
                write(live->second);
        }
    }

    void read(host& reader)
    {
        store_answer const answer{.state = store_, .read_at = now_};
        answers_.push_back(answer);
        if (answers_.size() > kept_answers)
            answers_.erase(answers_.begin());
        apply(reader, answer);
    }

    void apply(host& reader, store_answer const& answer)
    {
        for (auto const& [item, value] : answer.state.items)
            reader.items.store(item, value);
        reader.items.note_complete(answer.state.position);
        std::vector<endpoint_announcement> listing;
        for (auto const& [id, entry] : answer.state.endpoints)
            listing.push_back(entry);
        list(reader, answer.read_at, answer.state.position, std::move(listing), {});
        take_versions(reader);
    }

    static void take_versions(host& reader)
    {
        for (auto const& [item, value] : reader.items.items())
            reader.versions[item] = std::max(reader.versions[item], value.version);
    }

    void list(host& reader, time_point read_at, store_position position,
              std::vector<endpoint_announcement> listing,
              std::optional<time_point> available_since)
    {
        if (position >= reader.catalog.position())
            reader.listing = listing;
        for (auto const& event : reader.catalog.apply_listing(
                 read_at, position, std::move(listing), available_since))
        {
            auto const& endpoint = event.endpoint;
            auto const is_gone = event.change == endpoint_change::gone;
            if (endpoint.draining || is_gone)
                reader.left[endpoint.id] =
                    std::max(reader.left[endpoint.id], endpoint.started_at_ms);
        }
    }

    // A host reads another one's copy
    void relay(host& from, host& to)
    {
        for (auto const& [item, value] : from.items.items())
            to.items.store(item, value);
        to.items.note_complete(from.items.last_complete_change());
        take_versions(to);
        if (!from.catalog.listed_at())
            return;
        list(to, *from.catalog.listed_at(), from.catalog.position(), from.listing,
             from.catalog.available_since());
    }

    // Nothing known is unlearnt
    void check_hosts()
    {
        for (auto const& each : hosts_)
        {
            for (auto const& [item, version] : each.versions)
                BOOST_REQUIRE(each.items.find(item)->version >= version);
            for (auto const& [id, endpoint] : each.catalog.endpoints())
            {
                auto const left = each.left.find(id);
                if (left != each.left.end() && endpoint.started_at_ms <= left->second)
                    BOOST_REQUIRE(endpoint.draining);
            }
        }
    }

    // Without further faults all hosts have what was written last
    void settle()
    {
        for (auto const end = now_ + 2 * settle_time; now_ < end; now_ += 400ms)
            for (auto& each : hosts_)
                read(each);
        for (auto const& each : hosts_)
        {
            BOOST_REQUIRE((each.items.complete() == store_.position));
            for (auto const& [item, version] : written_)
                BOOST_REQUIRE_EQUAL(each.items.find(item)->version, version);
            BOOST_REQUIRE((each.catalog.position() == store_.position));
            BOOST_REQUIRE_EQUAL(each.catalog.endpoints().size(), live_.size());
            for (auto const& [id, live] : live_)
            {
                auto const* known = each.catalog.find(id);
                BOOST_REQUIRE(known);
                BOOST_REQUIRE_EQUAL(known->started_at_ms, live.started_at_ms);
                BOOST_REQUIRE_EQUAL(known->draining, live.draining);
            }
        }
    }

    std::minstd_rand random_;
    time_point now_{1'000s};
    contents store_;
    contents copy_;
    // What the writers wrote last
    std::map<std::string, std::uint64_t> written_;
    std::map<endpoint_id, endpoint_announcement> live_;
    std::uint64_t version_ = 0;
    std::uint64_t starts_ = 0;
    std::vector<store_answer> answers_;
    std::vector<host> hosts_{host_count};
};

} // namespace

BOOST_AUTO_TEST_SUITE(store_histories)

// Hosts unlearnt what the copy of a restored store did not have, or never learnt what was
// written to it
BOOST_AUTO_TEST_CASE(hosts_agree_with_a_store_that_returns_from_copies)
{
    for (std::uint32_t seed = 1; seed <= histories; ++seed)
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            history(seed).run();
        }
}

BOOST_AUTO_TEST_SUITE_END()
