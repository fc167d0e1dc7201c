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
    return {.revision = revision, .value = fmt::to_string(revision)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(operator_item_stores)

BOOST_AUTO_TEST_CASE(a_change_counts_only_with_all_changes_before_it)
{
    operator_items items;
    BOOST_TEST(items.store("a", written(3)));
    BOOST_TEST(items.last_complete_change() == 0U);
    items.note_complete(5);
    BOOST_TEST(items.last_complete_change() == 3U);
    BOOST_TEST(items.store("b", written(9)));
    BOOST_TEST(items.last_complete_change() == 3U);
    items.note_complete(7);
    BOOST_TEST(items.last_complete_change() == 3U);
    BOOST_TEST(items.store("c", written(6)));
    BOOST_TEST(items.last_complete_change() == 6U);
    items.note_complete(9);
    BOOST_TEST(items.last_complete_change() == 9U);
    items.note_complete(2);
    BOOST_TEST(items.complete_revision() == 9U);
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
    BOOST_TEST(items.store("a", {.revision = 5, .removed = true}));
    BOOST_TEST(items.items().at("a").removed);
    BOOST_TEST(items.revision_of("a") == 5U);
    BOOST_TEST(items.revision_of("b") == 0U);
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
                store[fmt::format("k{}", draw(12))] = {
                    .revision = revision, .value = "v", .removed = draw(10) == 0};
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
                    host.note_complete(revision);
            }
            else if (kind == 1 && host.complete_revision() != 0)
            {
                for (auto const& [key, item] : store)
                    if (item.revision > host.complete_revision())
                        host.store(key, item);
                host.note_complete(revision);
            }
            else
            {
                auto const known = host.last_complete_change();
                auto const position = other.last_complete_change();
                for (auto const& [key, item] : other.items())
                    if (item.revision > known)
                        host.store(key, item);
                host.note_complete(position);
            }
            for (auto const& each : hosts)
                for (auto const& [key, item] : store)
                    BOOST_REQUIRE_MESSAGE(item.revision > each.last_complete_change() ||
                                              each.revision_of(key) == item.revision,
                                          "seed " << seed << " step " << step);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
