#include <serving/sheet_source/sheet_holder.hpp>

#include <boost/test/unit_test.hpp>

using namespace marjorampath;
using namespace marjorampath::serving;

namespace
{

std::vector<sheet_part> parts_with_version(std::string const& version)
{
    return {
        {"endpoint_kinds",
         "endpoint_kind,base_model,adapter_slots,concurrency,checks_fence\n"
         "engine,base-7b,4,8,yes\n"},
        {"services", "service,kind,endpoint_kind,team,weight,deadline_ms\n"
                     "dossier,model,engine,drafting,3,20000\n"},
        {"adapters", "service,adapter,version\ndossier,lot-1," + version + "\n"},
        {"non_idempotent", "service,method,path\n"},
    };
}

sheet_offer_result offer(sheet_holder& holder, std::uint64_t number,
                         std::vector<sheet_part> const& parts)
{
    return holder.offer(make_sheet_manifest(number, parts), parts);
}

} // namespace

BOOST_AUTO_TEST_SUITE(sheet_holder_test)

BOOST_AUTO_TEST_CASE(only_a_higher_number_replaces_the_sheet_in_force)
{
    sheet_holder holder;
    BOOST_TEST(holder.number() == 0u);
    BOOST_TEST(
        (offer(holder, 7, parts_with_version("1")) == sheet_offer_result::in_force));
    BOOST_TEST(
        (offer(holder, 7, parts_with_version("2")) == sheet_offer_result::not_newer));
    BOOST_TEST(
        (offer(holder, 6, parts_with_version("2")) == sheet_offer_result::not_newer));
    auto const dossier = service_id::of("dossier");
    BOOST_TEST(holder.current()->find_adapter(dossier, "lot-1")->version == "1");
    BOOST_TEST(
        (offer(holder, 8, parts_with_version("2")) == sheet_offer_result::in_force));
    BOOST_TEST(holder.current()->find_adapter(dossier, "lot-1")->version == "2");
}

BOOST_AUTO_TEST_CASE(a_rejected_sheet_leaves_the_one_in_force)
{
    sheet_holder holder;
    auto const good = parts_with_version("1");
    offer(holder, 7, good);
    auto bad = parts_with_version("2");
    bad[2].text += "nobody,lot-2,1\n";
    BOOST_TEST((offer(holder, 8, bad) == sheet_offer_result::rejected));
    BOOST_REQUIRE(!holder.problems().empty());
    BOOST_TEST(holder.number() == 7u);
    BOOST_TEST(holder.find_part(sheet_part_digest(good[2].text)));
    BOOST_TEST(!holder.find_part(sheet_part_digest(bad[2].text)));
}

BOOST_AUTO_TEST_SUITE_END()
