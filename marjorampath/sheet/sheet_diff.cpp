#include <marjorampath/sheet/sheet_diff.hpp>

#include <fmt/format.h>

#include <array>
#include <map>
#include <utility>

namespace marjorampath
{

namespace
{

// The values of the rows of one table as text, by row key
using row_values = std::map<std::string, std::string>;

std::string name_of(sheet const& from, service_id id)
{
    auto const* service = from.find_service(id);
    return service ? service->name : "?";
}

row_values endpoint_kind_values(sheet const& from)
{
    row_values values;
    for (auto const& row : from.tables().endpoint_kinds)
        values[row.name] = fmt::format("base_model={} adapter_slots={} concurrency={} "
                                       "checks_fence={}",
                                       row.base_model, row.adapter_slots, row.concurrency,
                                       row.checks_fence ? "yes" : "no");
    return values;
}

row_values service_values(sheet const& from)
{
    row_values values;
    for (auto const& row : from.tables().services)
    {
        auto const* kind = from.find_endpoint_kind(row.endpoints);
        values[row.name] =
            fmt::format("kind={} endpoint_kind={} team={} weight={} deadline_ms={}",
                        to_string(row.kind), kind ? kind->name : "?", row.team_name,
                        row.weight, row.deadline.count());
    }
    return values;
}

row_values adapter_values(sheet const& from)
{
    row_values values;
    for (auto const& row : from.tables().adapters)
        values[name_of(from, row.service) + '/' + row.adapter_name] = row.version;
    return values;
}

row_values rule_values(sheet const& from)
{
    row_values values;
    for (auto const& row : from.tables().non_idempotent)
        values[fmt::format("{} {} {}", name_of(from, row.service), row.method,
                           row.path)] = "non-idempotent";
    return values;
}

void compare_table(std::string const& table, row_values const& before,
                   row_values const& after, std::vector<sheet_change>& changes)
{
    for (auto const& [row, value] : before)
    {
        auto const found = after.find(row);
        if (found == after.end())
            changes.push_back({sheet_change_kind::removed, table, row, value, ""});
        else if (found->second != value)
            changes.push_back(
                {sheet_change_kind::changed, table, row, value, found->second});
    }

    for (auto const& [row, value] : after)
        if (!before.contains(row))
            changes.push_back({sheet_change_kind::added, table, row, "", value});
}

} // namespace

std::string_view to_string(sheet_change_kind value) noexcept
{
    // Indexed by enumerator
    constexpr std::array<std::string_view, 3> names{"added", "removed", "changed"};
    return names.at(static_cast<std::size_t>(value));
}

std::vector<sheet_change> compare_sheets(sheet const& before, sheet const& after)
{
    std::vector<sheet_change> changes;
    compare_table("endpoint_kinds", endpoint_kind_values(before),
                  endpoint_kind_values(after), changes);
    compare_table("services", service_values(before), service_values(after), changes);
    compare_table("adapters", adapter_values(before), adapter_values(after), changes);
    compare_table("non_idempotent", rule_values(before), rule_values(after), changes);
    return changes;
}

} // namespace marjorampath
