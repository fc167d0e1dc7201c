/// Minimal use of the decision library: packs a sheet, checks it and looks up the service
/// and the adapter that a caller requests.

#include <marjorampath/sheet/sheet_packer.hpp>
#include <marjorampath/sheet/sheet_reader.hpp>

#include <fmt/format.h>

#include <variant>
#include <vector>

using namespace marjorampath;

int main()
{
    // The four tables of a sheet, as CSV exported from a spreadsheet
    std::vector<sheet_part> const tables{
        {"endpoint_kinds",
         "endpoint_kind,base_model,adapter_slots,concurrency,checks_fence\n"
         "engine,base-7b,4,8,yes\n"},
        {"services", "service,kind,endpoint_kind,team,weight,deadline_ms\n"
                     "dossier,model,engine,drafting,1,20000\n"},
        {"adapters", "service,adapter,version\n"
                     "dossier,mill-17,3\n"},
        {"non_idempotent", "service,method,path\n"},
    };

    // Split the tables into parts small enough for the configuration service, as sheet 42
    packed_sheet const packed = pack_sheet(42, tables);

    // Check all parts together; one invalid row rejects the sheet
    sheet_or_problems const result = read_sheet(packed.manifest, packed.parts);
    if (auto const* problems = std::get_if<std::vector<sheet_problem>>(&result))
    {
        for (auto const& problem : *problems)
            fmt::print(stderr, "{}\n", problem.to_string());
        return 1;
    }
    sheet const& in_force = *std::get<std::shared_ptr<sheet const>>(result);

    // A caller requests the adapter `mill-17` of the service `dossier`
    service_contract const* service = in_force.find_service("dossier");
    adapter_assignment const* adapter = in_force.find_adapter(service->id, "mill-17");

    // Requests to engines use the name with the version, so that no other version answers
    fmt::print("sheet {}: {} runs on {} within {} ms\n", in_force.number(), service->name,
               adapter->qualified_name(), service->deadline.count());
    return 0;
}
