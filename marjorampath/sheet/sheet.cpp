#include <marjorampath/sheet/sheet.hpp>

#include <algorithm>
#include <utility>

namespace marjorampath
{

namespace
{

template <class Map, class Rows>
auto find_row(Map const& index, typename Map::key_type key, Rows const& rows) ->
    typename Rows::value_type const*
{
    auto const found = index.find(key);
    return found == index.end() ? nullptr : &rows[found->second];
}

} // namespace

sheet::sheet(sheet_tables tables) : tables_(std::move(tables))
{
    for (std::size_t row = 0; row < tables_.services.size(); ++row)
        services_.emplace(tables_.services[row].id, row);

    for (std::size_t row = 0; row < tables_.endpoint_kinds.size(); ++row)
        endpoint_kinds_.emplace(tables_.endpoint_kinds[row].id, row);

    adapters_.reserve(tables_.adapters.size());
    versions_.reserve(tables_.adapters.size());
    for (std::size_t row = 0; row < tables_.adapters.size(); ++row)
    {
        auto const& assignment = tables_.adapters[row];
        adapters_.emplace(
            hash_combine(assignment.service.number(), assignment.adapter.number()), row);
        versions_.emplace(assignment.id, row);
    }

    for (std::size_t row = 0; row < tables_.non_idempotent.size(); ++row)
        rules_[tables_.non_idempotent[row].service].push_back(row);
}

service_contract const* sheet::find_service(std::string_view name) const
{
    return find_service(service_id::of(name));
}

service_contract const* sheet::find_service(service_id id) const
{
    return find_row(services_, id, tables_.services);
}

endpoint_kind const* sheet::find_endpoint_kind(endpoint_kind_id id) const
{
    return find_row(endpoint_kinds_, id, tables_.endpoint_kinds);
}

adapter_assignment const* sheet::find_adapter(service_id service,
                                              std::string_view adapter) const
{
    auto const key = hash_combine(service.number(), adapter_id::of(adapter).number());
    return find_row(adapters_, key, tables_.adapters);
}

adapter_assignment const* sheet::find_version(adapter_version_id id) const
{
    return find_row(versions_, id, tables_.adapters);
}

bool sheet::is_non_idempotent(service_id service, std::string_view method,
                              std::string_view target) const
{
    auto const found = rules_.find(service);
    if (found == rules_.end())
        return false;
    return std::any_of(found->second.begin(), found->second.end(),
                       [&](std::size_t row)
                       { return tables_.non_idempotent[row].matches(method, target); });
}

} // namespace marjorampath
