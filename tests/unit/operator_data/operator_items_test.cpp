#include <marjorampath/operator_data/operator_items.hpp>

#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace marjorampath;

namespace
{

operator_items::item written(std::uint64_t revision)
{
    return {.position = {.revision = revision}, .value = fmt::to_string(revision)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(operator_item_stores)

BOOST_AUTO_TEST_CASE(a_change_counts_only_with_all_changes_before_it)
{
    operator_items items;
    BOOST_TEST(items.store("a", written(3)));
    BOOST_TEST(items.last_complete_change().revision == 0U);
    items.note_complete({.revision = 5});
    BOOST_TEST(items.last_complete_change().revision == 3U);
    BOOST_TEST(items.store("b", written(9)));
    BOOST_TEST(items.last_complete_change().revision == 3U);
    items.note_complete({.revision = 7});
    BOOST_TEST(items.last_complete_change().revision == 3U);
    BOOST_TEST(items.store("c", written(6)));
    BOOST_TEST(items.last_complete_change().revision == 6U);
    items.note_complete({.revision = 9});
    BOOST_TEST(items.last_complete_change().revision == 9U);
    items.note_complete({.revision = 2});
    BOOST_TEST(items.complete().revision == 9U);
}

BOOST_AUTO_TEST_CASE(an_older_or_known_change_is_not_stored)
{
    operator_items items;
    BOOST_TEST(items.store("a", written(4)));
    BOOST_TEST(!items.store("a", written(4)));
    BOOST_TEST(!items.store("a", written(3)));
    BOOST_TEST(!items.store("b", written(0)));
    BOOST_TEST(items.items().size() == 1U);
    BOOST_TEST(items.items().at("a").value == "4");
    BOOST_TEST(items.store("a", {.position = {.revision = 5}, .removed = true}));
    BOOST_TEST(items.items().at("a").removed);
    BOOST_TEST(items.position_of("a").revision == 5U);
    BOOST_TEST(items.position_of("b").revision == 0U);
}

// A restored store gives revisions out again; the changes that got them were dropped
BOOST_AUTO_TEST_CASE(a_lower_revision_of_a_later_era_counts)
{
    operator_items items;
    items.store("a", {.position = {.revision = 90}, .version = 4, .value = "4"});
    items.note_complete({.revision = 100});
    BOOST_TEST(items.store("a", {.position = {1, 60}, .version = 5, .value = "5"}));
    items.note_complete({1, 60});
    BOOST_TEST((items.complete() == store_position{1, 60}));
    BOOST_TEST((items.last_complete_change() == store_position{1, 60}));

    // Late answers of the era before
    BOOST_TEST(
        !items.store("a", {.position = {.revision = 95}, .version = 4, .value = "4"}));
    items.note_complete({.revision = 200});
    BOOST_TEST((items.complete() == store_position{1, 60}));
    BOOST_TEST(items.items().at("a").value == "5");
}

BOOST_AUTO_TEST_CASE(a_restored_store_unlearns_no_newer_value)
{
    operator_items items;
    items.store("a", {.position = {.revision = 90}, .version = 4, .value = "4"});
    items.note_complete({.revision = 100});

    // The copy, and what the operator writes again, one after the other
    BOOST_TEST(!items.store("a", {.position = {1, 50}, .version = 2, .value = "2"}));
    BOOST_TEST(!items.store("a", {.position = {1, 60}, .version = 3, .value = "3"}));
    items.note_complete({1, 60});
    BOOST_TEST(items.items().at("a").value == "4");
    BOOST_TEST((items.position_of("a") == store_position{1, 60}));
    BOOST_TEST(items.kept() == 1U);
    BOOST_TEST(items.store("a", {.position = {1, 70}, .version = 4, .value = "4"}));
    BOOST_TEST(items.kept() == 0U);
}

BOOST_AUTO_TEST_CASE(a_newer_value_that_another_host_kept_is_taken)
{
    operator_items items;
    items.store("a", {.position = {1, 50}, .version = 2, .value = "2"});
    items.note_complete({1, 60});
    BOOST_TEST(items.store(
        "a", {.position = {1, 50}, .version = 4, .kept = true, .value = "4"}));
    BOOST_TEST(items.kept() == 1U);
    BOOST_TEST(!items.store(
        "a", {.position = {1, 50}, .version = 4, .kept = true, .value = "4"}));
}

// Hosts read pages that may fail, changes and each other's copies in any order
BOOST_AUTO_TEST_CASE(a_host_that_names_the_last_change_has_every_item)
{
    for (std::uint32_t seed = 1; seed <= 300; ++seed)
    {
        std::minstd_rand random(seed);
        auto const draw = [&](std::uint32_t below)
        { return static_cast<std::uint32_t>(random() % below); };
        std::map<std::string, operator_items::item> store;
        std::uint64_t revision = 1;
        std::vector<operator_items> hosts(4);
        for (int step = 0; step < 400; ++step)
        {
            // The store's revision also rises without changes of the operator
            revision += 1 + draw(3);
            if (draw(3) == 0)
                store[fmt::format("k{}", draw(12))] = {.position = {.revision = revision},
                                                       .value = "v",
                                                       .removed = draw(10) == 0};
            auto& host = hosts[draw(4)];
            auto const& other = hosts[draw(4)];
            auto const kind = draw(3);
            if (kind == 0)
            {
                // Items are read in the order of their keys; the read may end early
                auto left = draw(16);
                for (auto each = store.begin(); each != store.end() && left > 0;
                     ++each, --left)
                    host.store(each->first, each->second);
                if (left > 0)
                    host.note_complete({.revision = revision});
            }
            else if (kind == 1 && host.complete() != store_position{})
            {
                for (auto const& [key, item] : store)
                    if (item.position > host.complete())
                        host.store(key, item);
                host.note_complete({.revision = revision});
            }
            else
            {
                auto const known = host.last_complete_change();
                auto const position = other.last_complete_change();
                for (auto const& [key, item] : other.items())
                    if (item.position > known)
                        host.store(key, item);
                host.note_complete(position);
            }
            for (auto const& each : hosts)
                for (auto const& [key, item] : store)
                    BOOST_REQUIRE_MESSAGE(item.position > each.last_complete_change() ||
                                              each.position_of(key) == item.position,
                                          "seed " << seed << " step " << step);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
