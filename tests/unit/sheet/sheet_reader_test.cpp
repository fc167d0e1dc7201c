#include <marjorampath/sheet/sheet_reader.hpp>

#include <boost/test/unit_test.hpp>

using namespace marjorampath;

namespace
{

std::vector<sheet_part> valid_parts()
{
    return {
        {"endpoint_kinds",
         "endpoint_kind,base_model,adapter_slots,concurrency,checks_fence\n"
         "engine,base-7b,4,8,yes\nportal,,0,4,no\n"},
        {"services", "service,kind,endpoint_kind,team,weight,deadline_ms\n"
                     "dossier,model,engine,drafting,3,20000\n"
                     "transfer,plain,portal,custody,1,5000\n"},
        {"adapters-0", "service,adapter,version\ndossier,lot-1,3\n"},
        {"adapters-1", "service,adapter,version\r\ndossier,\"lot-2\",v9\r\n"},
        {"non_idempotent", "service,method,path\ntransfer,POST,/transfers*\n"},
    };
}

std::vector<sheet_problem> problems_of(std::vector<sheet_part> const& parts)
{
    auto const result = read_sheet(make_sheet_manifest(7, parts), parts);
    auto const* problems = std::get_if<std::vector<sheet_problem>>(&result);
    return problems ? *problems : std::vector<sheet_problem>{};
}

} // namespace

BOOST_AUTO_TEST_SUITE(sheet_reader)

BOOST_AUTO_TEST_CASE(a_valid_sheet_is_indexed)
{
    auto const parts = valid_parts();
    auto const result = read_sheet(make_sheet_manifest(7, parts), parts);
    auto const& read = *std::get<std::shared_ptr<sheet const>>(result);
    auto const* service = read.find_service("dossier");
    BOOST_REQUIRE(service);
    BOOST_TEST(read.number() == 7);
    BOOST_TEST(service->weight == 3);
    BOOST_TEST(read.find_adapter(service->id, "lot-2")->qualified_name() == "lot-2@v9");
    BOOST_TEST(!read.find_adapter(service->id, "lot-3"));
    auto const transfer = service_id::of("transfer");
    BOOST_TEST(read.is_non_idempotent(transfer, "POST", "/transfers/9?x=1"));
    BOOST_TEST(!read.is_non_idempotent(transfer, "GET", "/transfers/9"));
    BOOST_TEST(!read.is_non_idempotent(service->id, "POST", "/transfers/9"));
}

BOOST_AUTO_TEST_CASE(a_manifest_round_trips_through_csv)
{
    auto const manifest = make_sheet_manifest(7, valid_parts());
    auto const read = read_sheet_manifest(manifest.to_csv());
    BOOST_TEST(std::get<sheet_manifest>(read).digest() == manifest.digest());
    BOOST_TEST(read_sheet_manifest("record,name,value\nsheet,number,x\n").index() == 1u);
    BOOST_TEST(read_sheet_manifest("record,name,value\n").index() == 1u);
    BOOST_TEST(read_sheet_manifest("nonsense").index() == 1u);
}

BOOST_AUTO_TEST_CASE(a_bad_row_is_reported_with_line_and_column)
{
    auto parts = valid_parts();
    parts[1].text += "lineage,model,engine,drafting,zero,20000\n";
    auto const problems = problems_of(parts);
    BOOST_REQUIRE(problems.size() == 1);
    BOOST_TEST(
        problems[0].to_string() ==
        "services:4:weight: `zero` is not a whole number between 1 and 4294967295");
}

BOOST_AUTO_TEST_CASE(every_kind_of_fault_rejects_the_sheet)
{
    struct fault
    {
        std::size_t part;
        char const* appended;
    };
    for (auto const& each : std::initializer_list<fault>{
             {0, "engine,base-7b,4,8,yes\n"},
             {0, "other,base-7b,4,8,maybe\n"},
             {1, "dossier,model,engine,drafting,3,20000\n"},
             {1, "review,model,nowhere,drafting,3,20000\n"},
             {1, "review,sometimes,engine,drafting,3,20000\n"},
             {1, "review,model,engine,drafting,3\n"},
             {2, "dossier,lot-1,4\n"},
             {2, "dossier,lot@1,4\n"},
             {2, "nobody,lot-1,4\n"},
             {2, "transfer,lot-1,4\n"},
             {2, "dossier,\"lot-1,4\n"},
             {4, "transfer,POST,transfers\n"},
             {4, "nobody,POST,/transfers\n"},
         })
    {
        auto parts = valid_parts();
        parts[each.part].text += each.appended;
        BOOST_TEST_CONTEXT(each.appended)
        {
            BOOST_TEST(!problems_of(parts).empty());
        }
    }
}

BOOST_AUTO_TEST_CASE(a_part_that_does_not_match_the_manifest_rejects_the_sheet)
{
    auto parts = valid_parts();
    auto const manifest = make_sheet_manifest(7, parts);
    parts[2].text += "dossier,lot-8,1\n";
    BOOST_TEST(read_sheet(manifest, parts).index() == 1u);
    parts.erase(parts.begin() + 2);
    BOOST_TEST(read_sheet(manifest, parts).index() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
