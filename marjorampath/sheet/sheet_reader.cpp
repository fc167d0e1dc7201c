#include <marjorampath/sheet/csv_table.hpp>
#include <marjorampath/sheet/sheet_reader.hpp>

#include <fmt/format.h>

#include <charconv>
#include <unordered_set>
#include <utility>

namespace marjorampath
{

namespace
{

// Collects rows of all parts and the problems found in them.
class sheet_builder
{
public:
    // Appends the rows of one part to its table
    void add_part(sheet_part const& part);

    // Checks references between tables, once all parts are read
    void check_references();

    // Reports a problem of a whole part
    void reject(std::string part, std::string text)
    {
        reject(std::move(part), 0, "", std::move(text));
    }

    sheet_tables tables;
    std::vector<sheet_problem> problems;

private:
    // Origin of a row, for problems found after reading
    struct row_location
    {
        std::string part;
        std::uint32_t line;
    };

    void reject(std::string part, std::uint32_t line, char const* column,
                std::string text);

    template <std::size_t Columns>
    std::uint32_t number_field(sheet_part const& part, csv_row<Columns> const& row,
                               std::size_t index, char const* column,
                               std::uint32_t lowest);

    template <std::size_t Columns>
    bool flag_field(sheet_part const& part, csv_row<Columns> const& row,
                    std::size_t index, char const* column);

    template <std::size_t Columns>
    void require_name(sheet_part const& part, csv_row<Columns> const& row,
                      std::size_t index, char const* column);

    void read_endpoint_kinds(sheet_part const& part);
    void read_services(sheet_part const& part);
    void read_adapters(sheet_part const& part);
    void read_non_idempotent(sheet_part const& part);

    std::unordered_set<endpoint_kind_id> endpoint_kinds_;
    std::unordered_map<service_id, service_kind> services_;
    std::unordered_set<std::uint64_t> assignments_;
    std::vector<row_location> service_locations_;
    std::vector<row_location> adapter_locations_;
    std::vector<row_location> rule_locations_;
};

void sheet_builder::reject(std::string part, std::uint32_t line, char const* column,
                           std::string text)
{
    if (problems.size() < max_sheet_problems)
        problems.push_back({std::move(part), line, column, std::move(text)});
}

template <std::size_t Columns>
std::uint32_t sheet_builder::number_field(sheet_part const& part,
                                          csv_row<Columns> const& row, std::size_t index,
                                          char const* column, std::uint32_t lowest)
{
    auto const& text = row.fields.at(index);
    std::uint32_t number = 0;
    auto const* end = text.data() + text.size();
    auto const [stop, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc{} || stop != end || number < lowest)
        reject(part.name, row.line, column,
               fmt::format("`{}` is not a whole number between {} and 4294967295", text,
                           lowest));
    return number;
}

template <std::size_t Columns>
bool sheet_builder::flag_field(sheet_part const& part, csv_row<Columns> const& row,
                               std::size_t index, char const* column)
{
    auto const& text = row.fields.at(index);
    if (text != "yes" && text != "no")
        reject(part.name, row.line, column, fmt::format("`{}` is not yes or no", text));
    return text == "yes";
}

template <std::size_t Columns>
void sheet_builder::require_name(sheet_part const& part, csv_row<Columns> const& row,
                                 std::size_t index, char const* column)
{
    auto const& text = row.fields.at(index);
    if (text.empty())
        reject(part.name, row.line, column, "is empty");
    else if (text.find_first_of("@/ ?#") != std::string::npos)
        reject(part.name, row.line, column,
               fmt::format("`{}` contains one of `@ / ? #` or a space", text));
}

void sheet_builder::read_endpoint_kinds(sheet_part const& part)
{
    auto const rows = read_csv_table<5>(
        part,
        {"endpoint_kind", "base_model", "adapter_slots", "concurrency", "checks_fence"},
        problems);
    for (auto const& row : rows)
    {
        require_name(part, row, 0, "endpoint_kind");
        endpoint_kind kind{
            .id = endpoint_kind_id::of(row.fields[0]),
            .name = row.fields[0],
            .base_model = row.fields[1],
            .adapter_slots = number_field(part, row, 2, "adapter_slots", 0),
            .concurrency = number_field(part, row, 3, "concurrency", 1),
            .checks_fence = flag_field(part, row, 4, "checks_fence"),
        };
        if (!endpoint_kinds_.insert(kind.id).second)
            reject(part.name, row.line, "endpoint_kind",
                   "already appears in an earlier row");
        tables.endpoint_kinds.push_back(std::move(kind));
    }
}

void sheet_builder::read_services(sheet_part const& part)
{
    auto const rows = read_csv_table<6>(
        part, {"service", "kind", "endpoint_kind", "team", "weight", "deadline_ms"},
        problems);
    for (auto const& row : rows)
    {
        require_name(part, row, 0, "service");
        require_name(part, row, 3, "team");
        auto const kind = parse_service_kind(row.fields[1]);
        if (!kind)
            reject(part.name, row.line, "kind",
                   fmt::format("`{}` is not model or plain", row.fields[1]));
        service_contract contract{
            .id = service_id::of(row.fields[0]),
            .name = row.fields[0],
            .kind = kind.value_or(service_kind::plain),
            .endpoints = endpoint_kind_id::of(row.fields[2]),
            .team = team_id::of(row.fields[3]),
            .team_name = row.fields[3],
            .weight = number_field(part, row, 4, "weight", 1),
            .deadline =
                std::chrono::milliseconds(number_field(part, row, 5, "deadline_ms", 1)),
        };
        if (!services_.emplace(contract.id, contract.kind).second)
            reject(part.name, row.line, "service", "already appears in an earlier row");
        tables.services.push_back(std::move(contract));
        service_locations_.push_back({part.name, row.line});
    }
}

void sheet_builder::read_adapters(sheet_part const& part)
{
    auto const rows =
        read_csv_table<3>(part, {"service", "adapter", "version"}, problems);
    for (auto const& row : rows)
    {
        require_name(part, row, 1, "adapter");
        require_name(part, row, 2, "version");
        adapter_assignment assignment{
            .service = service_id::of(row.fields[0]),
            .adapter = adapter_id::of(row.fields[1]),
            .id = {},
            .adapter_name = row.fields[1],
            .version = row.fields[2],
        };
        assignment.id = adapter_version_id::of(assignment.qualified_name());
        auto const key =
            hash_combine(assignment.service.number(), assignment.adapter.number());
        if (!assignments_.insert(key).second)
            reject(part.name, row.line, "adapter",
                   "already appears in an earlier row of this service");
        tables.adapters.push_back(std::move(assignment));
        adapter_locations_.push_back({part.name, row.line});
    }
}

void sheet_builder::read_non_idempotent(sheet_part const& part)
{
    auto const rows = read_csv_table<3>(part, {"service", "method", "path"}, problems);
    for (auto const& row : rows)
    {
        if (row.fields[1].empty())
            reject(part.name, row.line, "method", "is empty; `*` matches any method");
        if (!row.fields[2].starts_with('/') && row.fields[2] != "*")
            reject(part.name, row.line, "path", "does not begin with `/`");
        tables.non_idempotent.push_back({.service = service_id::of(row.fields[0]),
                                         .method = row.fields[1],
                                         .path = row.fields[2]});
        rule_locations_.push_back({part.name, row.line});
    }
}

void sheet_builder::add_part(sheet_part const& part)
{
    if (part.text.size() > max_sheet_part_bytes)
        return reject(part.name,
                      fmt::format("larger than {} bytes", max_sheet_part_bytes));

    // Remove the part number from the part name
    auto const table = part.name.substr(0, part.name.find('-'));
    if (table == "endpoint_kinds")
        read_endpoint_kinds(part);
    else if (table == "services")
        read_services(part);
    else if (table == "adapters")
        read_adapters(part);
    else if (table == "non_idempotent")
        read_non_idempotent(part);
    else
        reject(part.name, "does not begin with the name of a table");
}

void sheet_builder::check_references()
{
    for (std::size_t row = 0; row < tables.services.size(); ++row)
    {
        auto const& location = service_locations_[row];
        if (!endpoint_kinds_.contains(tables.services[row].endpoints))
            reject(location.part, location.line, "endpoint_kind",
                   "is not in endpoint_kinds");
    }

    for (std::size_t row = 0; row < tables.adapters.size(); ++row)
    {
        auto const& location = adapter_locations_[row];
        auto const service = services_.find(tables.adapters[row].service);
        if (service == services_.end())
            reject(location.part, location.line, "service", "is not in services");
        else if (service->second != service_kind::model)
            reject(location.part, location.line, "service", "is not a model service");
    }

    for (std::size_t row = 0; row < tables.non_idempotent.size(); ++row)
    {
        auto const& location = rule_locations_[row];
        if (!services_.contains(tables.non_idempotent[row].service))
            reject(location.part, location.line, "service", "is not in services");
    }
}

} // namespace

sheet_or_problems read_sheet(sheet_manifest const& manifest,
                             std::span<sheet_part const> parts)
{
    sheet_builder builder;
    builder.tables.number = manifest.number;
    builder.tables.digest = manifest.digest();

    for (auto const& entry : manifest.parts)
    {
        auto const part =
            std::find_if(parts.begin(), parts.end(),
                         [&](auto const& each) { return each.name == entry.name; });
        if (part == parts.end())
            builder.reject(entry.name, "is listed in the manifest but missing");
        else if (sheet_part_digest(part->text) != entry.digest)
            builder.reject(entry.name, "does not match the digest in the manifest");
        else
            builder.add_part(*part);
    }

    // Skipped after a read error, since a referenced row may be among those that were not
    // read
    if (builder.problems.empty())
        builder.check_references();
    if (builder.problems.empty() && builder.tables.services.empty())
        builder.reject("manifest", "the sheet has no service");

    if (!builder.problems.empty())
        return std::move(builder.problems);
    return std::make_shared<sheet const>(std::move(builder.tables));
}

} // namespace marjorampath
