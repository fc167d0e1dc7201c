#include <marjorampath/sheet/sheet_diff.hpp>
#include <marjorampath/sheet/sheet_packer.hpp>
#include <marjorampath/sheet/sheet_reader.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <ctime>
#include <set>
#include <string>

using namespace marjorampath;

namespace
{

// Exported tables with the given number of adapters
std::vector<sheet_part> make_tables(std::size_t adapters)
{
    std::string rows = "service,adapter,version\n";
    for (std::size_t index = 0; index < adapters; ++index)
        rows += "dossier,mill-" + std::to_string(index) + ",1\n";
    return {{"endpoint_kinds", "endpoint_kind,base_model,adapter_slots,concurrency,"
                               "checks_fence\nengine,base-7b,4,8,yes\n"},
            {"services", "service,kind,endpoint_kind,team,weight,deadline_ms\n"
                         "dossier,model,engine,drafting,3,20000\n"},
            {"adapters", rows},
            {"non_idempotent", "service,method,path\n"}};
}

std::shared_ptr<sheet const> read_packed(packed_sheet const& packed)
{
    return std::get<0>(read_sheet(packed.manifest, packed.parts));
}

} // namespace

BOOST_AUTO_TEST_SUITE(sheet_packer)

BOOST_AUTO_TEST_CASE(parts_stay_below_the_limit_and_lose_no_row)
{
    std::size_t const limit = 1'000;
    auto const packed = pack_sheet(3, make_tables(500), limit);
    BOOST_TEST(packed.parts.size() > 8);
    for (auto const& part : packed.parts)
        BOOST_TEST(part.text.size() <= limit);
    BOOST_TEST(read_packed(packed)->tables().adapters.size() == 500);
}

BOOST_AUTO_TEST_CASE(one_added_row_changes_one_part)
{
    auto tables = make_tables(10'000);
    auto const before = pack_sheet(1, tables).manifest.parts;
    auto& rows = tables[2].text;
    rows.insert(rows.find("dossier,mill-5000,"), "dossier,mill-added,1\n");
    auto const after = pack_sheet(2, tables).manifest.parts;

    std::set<std::string> known;
    for (auto const& part : before)
        known.insert(part.digest);
    auto const fresh =
        std::count_if(after.begin(), after.end(),
                      [&](auto const& part) { return !known.contains(part.digest); });
    BOOST_TEST(after.size() > 20);

    // The added row may itself end a part and thus split one part in two
    BOOST_TEST(fresh >= 1);
    BOOST_TEST(fresh <= 2);
}

BOOST_AUTO_TEST_CASE(ten_thousand_adapters_are_read_whole)
{
    auto const packed = pack_sheet(3, make_tables(10'000));
    auto const before = std::clock();
    auto const read = read_packed(packed);
    auto const spent = double(std::clock() - before) / CLOCKS_PER_SEC;
    BOOST_TEST(read->find_adapter(service_id::of("dossier"), "mill-9999"));
    BOOST_TEST_MESSAGE("10,000 adapters: " << spent * 1e3 << " ms of processor time");
}

BOOST_AUTO_TEST_CASE(differences_name_table_row_and_values)
{
    auto tables = make_tables(2);
    auto const before = read_packed(pack_sheet(1, tables));
    tables[2].text = "service,adapter,version\ndossier,mill-1,2\ndossier,mill-7,1\n";
    auto const changes = compare_sheets(*before, *read_packed(pack_sheet(2, tables)));
    BOOST_REQUIRE(changes.size() == 3);
    BOOST_TEST((changes[0].kind == sheet_change_kind::removed));
    BOOST_TEST(changes[0].row == "dossier/mill-0");
    BOOST_TEST((changes[1].kind == sheet_change_kind::changed));
    BOOST_TEST(changes[1].after == "2");
    BOOST_TEST((changes[2].kind == sheet_change_kind::added));
    BOOST_TEST(compare_sheets(*before, *before).empty());
}

BOOST_AUTO_TEST_SUITE_END()
