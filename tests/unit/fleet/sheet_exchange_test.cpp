#include <serving/clock/boot_time.hpp>
#include <serving/fleet/sheet_exchange.hpp>

#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace marjorampath;
using namespace marjorampath::serving;

namespace
{

host_id const giver_id = host_id::of("giver");
host_id const taker_id = host_id::of("taker");

/// Parts of a sheet with adapters in several parts, each padded by `padding` rows.
std::vector<sheet_part> make_parts(std::string const& version, std::size_t adapter_parts,
                                   std::size_t padding)
{
    std::vector<sheet_part> parts{
        {"endpoint_kinds",
         "endpoint_kind,base_model,adapter_slots,concurrency,checks_fence\n"
         "engine,base-7b,4,8,yes\n"},
        {"services", "service,kind,endpoint_kind,team,weight,deadline_ms\n"
                     "dossier,model,engine,drafting,3,20000\n"},
        {"non_idempotent", "service,method,path\n"},
    };
    for (std::size_t part = 0; part < adapter_parts; ++part)
    {
        std::string text = "service,adapter,version\n";
        for (std::size_t row = 0; row < padding; ++row)
            text += "dossier,lot-" + std::to_string(part) + "-" + std::to_string(row) +
                    "," + version + "\n";
        parts.push_back({"adapters-" + std::to_string(part + 1), text});
    }
    return parts;
}

/// A host with a sheet and one that asks it; calls are carried when the test says so.
struct exchange_fixture
{
    exchange_fixture()
    {
        giver = std::make_unique<sheet_exchange>(giver_id, sheet_spread_options{},
                                                 giver_sheets, functions_of(giver_sheets),
                                                 boot_now());
        taker = std::make_unique<sheet_exchange>(taker_id, sheet_spread_options{},
                                                 taker_sheets, functions_of(taker_sheets),
                                                 boot_now());
    }

    sheet_exchange_functions functions_of(sheet_holder& sheets)
    {
        return {.call =
                    [this](host_id to, sheet_request const& request,
                           call_handler<sheet_reply> handler)
                {
                    BOOST_TEST((to == giver_id));
                    asked.push_back(request);
                    handlers.push_back(std::move(handler));
                },
                .watch = [](bool) {},
                .on_sheet =
                    [this, &sheets](std::shared_ptr<sheet const> const& taken)
                {
                    BOOST_TEST((taken == sheets.current()));
                    ++in_force;
                }};
    }

    void publish(std::uint64_t number, std::vector<sheet_part> const& parts)
    {
        BOOST_REQUIRE((giver_sheets.offer(make_sheet_manifest(number, parts), parts) ==
                       sheet_offer_result::in_force));
        giver->on_configuration_sheet();
    }

    void tell()
    {
        taker->on_gossip(giver_id, giver_sheets.number(),
                         giver_sheets.current()->digest(), boot_now());
    }

    /// Carries all calls, each reply changed by `damage`; the number of replies.
    std::size_t carry(std::function<void(sheet_reply&)> const& damage = {})
    {
        std::size_t count = 0;
        for (; count < handlers.size(); ++count)
        {
            last_reply = giver->answer(asked[count]);
            if (damage)
                damage(last_reply);
            auto const handler = handlers[count];
            handler({}, last_reply);
        }
        asked.clear();
        handlers.clear();
        return count;
    }

    sheet_holder giver_sheets;
    sheet_holder taker_sheets;
    std::unique_ptr<sheet_exchange> giver;
    std::unique_ptr<sheet_exchange> taker;
    std::vector<sheet_request> asked;
    std::vector<call_handler<sheet_reply>> handlers;
    sheet_reply last_reply;
    int in_force = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(sheet_exchanges, exchange_fixture)

BOOST_AUTO_TEST_CASE(a_newer_sheet_comes_from_the_peer_and_only_what_changed)
{
    publish(5, make_parts("1", 2, 10));
    tell();
    BOOST_TEST(carry() == 1U);
    BOOST_TEST(taker_sheets.number() == 5U);
    BOOST_TEST(last_reply.parts.size() == 5U);

    auto changed = make_parts("1", 2, 10);
    changed.back() = make_parts("2", 2, 10).back();
    publish(6, changed);
    tell();
    BOOST_TEST(carry() == 1U);
    BOOST_TEST(taker_sheets.number() == 6U);
    BOOST_TEST(taker_sheets.current()->digest() == giver_sheets.current()->digest());
    BOOST_TEST(last_reply.parts.size() == 1U);

    // The same number again is no news
    tell();
    BOOST_TEST(carry() == 0U);
    BOOST_TEST(in_force == 4);
}

BOOST_AUTO_TEST_CASE(a_large_sheet_comes_in_several_replies)
{
    publish(5, make_parts("1", 7, 40'000));
    tell();
    BOOST_TEST(carry() == 2U);
    BOOST_TEST(taker_sheets.number() == 5U);
    BOOST_TEST(taker_sheets.current()->tables().adapters.size() == 280'000U);
}

BOOST_AUTO_TEST_CASE(a_damaged_part_is_not_taken)
{
    publish(5, make_parts("1", 1, 10));
    tell();
    carry([](sheet_reply& reply) { reply.parts.back().text += "dossier,forged,1\n"; });
    BOOST_TEST(taker_sheets.number() == 0U);

    // The next news asks again, for what is missing
    tell();
    BOOST_REQUIRE(asked.size() == 1U);
    carry();
    BOOST_TEST(taker_sheets.number() == 5U);
    BOOST_TEST(last_reply.parts.size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_older_sheet_is_never_taken)
{
    publish(5, make_parts("1", 1, 10));
    tell();
    carry();
    auto const older = make_sheet_manifest(4, make_parts("2", 1, 10));
    taker->on_gossip(giver_id, 6, 1, boot_now());
    carry(
        [&](sheet_reply& reply)
        {
            reply.manifest = older.to_csv();
            reply.parts = make_parts("2", 1, 10);
        });
    BOOST_TEST(taker_sheets.number() == 5U);
    BOOST_TEST(in_force == 2);
}

BOOST_AUTO_TEST_CASE(a_peer_that_fails_or_has_nothing_ends_the_question)
{
    publish(5, make_parts("1", 1, 10));
    tell();
    BOOST_REQUIRE(handlers.size() == 1U);
    auto const handler = handlers.front();
    handlers.clear();
    asked.clear();
    handler(make_error_code(link_error::timed_out), {});
    BOOST_TEST(handlers.empty());
    tell();
    BOOST_TEST(carry() == 1U);
    BOOST_TEST(taker_sheets.number() == 5U);
}

BOOST_AUTO_TEST_SUITE_END()
