#include <marjorampath/cell/cell.hpp>
#include <marjorampath/core/hash.hpp>
#include <marjorampath/gossip/message_size.hpp>
#include <marjorampath/membership/host_table.hpp>
#include <marjorampath/organisation/access_decision.hpp>
#include <marjorampath/organisation/organisation_directory.hpp>
#include <marjorampath/sheet/sheet_packer.hpp>
#include <marjorampath/sheet/sheet_reader.hpp>
#include <programs/marjorampath-bench/subcommand.hpp>
#include <serving/link/grant_codec.hpp>

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <fmt/format.h>

#include <ctime>
#include <malloc.h>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

namespace marjorampath::bench
{

namespace
{

constexpr std::size_t adapter_count = 10'000;
constexpr std::size_t engine_count = 16;
constexpr std::size_t host_count = 68;

// Bytes of the heap in use, including memory-mapped blocks
double used_memory()
{
    auto const heap = ::mallinfo2();
    return static_cast<double>(heap.uordblks + heap.hblkhd);
}

// Processor time of this process, in microseconds
double processor_us()
{
    constexpr double us_per_second = 1e6;
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC * us_per_second;
}

// Prints a cost per unit as a line of docs/slopes.yaml
void print(char const* name, double value, char const* unit)
{
    fmt::print("{}: {{value: {:.2f}, unit: {}, command: marjorampath-bench slopes}}\n",
               name, value, unit);
}

packed_sheet make_sheet(std::size_t changed_row)
{
    std::string adapters = "service,adapter,version\n";
    for (std::size_t index = 0; index < adapter_count; ++index)
        adapters += fmt::format("dossier,mill-{},{}\n", index,
                                index == changed_row ? 99 : index % 7 + 1);
    std::vector<sheet_part> const tables{
        {"endpoint_kinds", "endpoint_kind,base_model,adapter_slots,concurrency,"
                           "checks_fence\nengine,base-7b,4,8,yes\n"},
        {"services", "service,kind,endpoint_kind,team,weight,deadline_ms\n"
                     "dossier,model,engine,drafting,3,20000\n"},
        {"adapters", adapters},
        {"non_idempotent", "service,method,path\n"}};
    return pack_sheet(1, tables);
}

void measure_sheet()
{
    auto const packed = make_sheet(adapter_count);
    auto const memory = used_memory();
    auto const start = processor_us();
    auto const read = read_sheet(packed.manifest, packed.parts);
    print("sheet_adapter_us", (processor_us() - start) / adapter_count, "us");
    print("sheet_adapter_memory", (used_memory() - memory) / adapter_count, "bytes");

    // A change of one adapter transfers the manifest and the parts that differ
    auto const changed = make_sheet(adapter_count / 2);
    auto bytes = changed.manifest.to_csv().size() + 2 * message_overhead;
    for (std::size_t index = 0; index < changed.parts.size(); ++index)
        if (index >= packed.parts.size() ||
            changed.manifest.parts[index].digest != packed.manifest.parts[index].digest)
            bytes += changed.parts[index].text.size();
    print("sheet_change_bytes", static_cast<double>(bytes), "bytes");
}

endpoint_report make_engine(std::size_t index)
{
    return {.endpoint = endpoint_id::of(fmt::format("engine-{}", index)),
            .kind = endpoint_kind_id::of("engine"),
            .zone = zone_id::of("zone"),
            .boot_number = 1,
            .adapter_slots = 4,
            .concurrency = 8};
}

grant_request make_grant_request(std::size_t index, std::size_t adapter, time_point now)
{
    return {.request = request_id(hash_combine(index, 1)),
            .entry = host_id::of("host"),
            .service = service_id::of("dossier"),
            .team = team_id::of("drafting"),
            .endpoints = endpoint_kind_id::of("engine"),
            .adapter = adapter_version_id::of(fmt::format("mill-{}@1", adapter)),
            .deadline = now + std::chrono::seconds(20),
            .max_tokens = 64};
}

// Carries out the actions of a cell, and those that follow, without delay
void carry_out(cell& measured_cell, cell_actions& actions, time_point now)
{
    while (!actions.empty())
    {
        cell_actions next;
        for (auto const& action : actions)
        {
            if (auto const* load = std::get_if<load_action>(&action))
                measured_cell.on_load_finished(load->endpoint, load->adapter,
                                               error_kind::none, now, next);
            else if (auto const* unload = std::get_if<unload_action>(&action))
                measured_cell.on_unload_finished(unload->endpoint, unload->adapter,
                                                 error_kind::none, now, next);
            else if (auto const* grant = std::get_if<grant_action>(&action))
                measured_cell.on_release({.request = grant->request,
                                          .endpoint = grant->endpoint,
                                          .reason = release_reason::finished,
                                          .tokens = 32},
                                         now, next);
        }
        actions = std::move(next);
    }
}

void measure_cell()
{
    constexpr std::size_t requests = 200'000;
    constexpr std::size_t adapters = 1'000;
    auto now = time_point(std::chrono::hours(1));
    cell_actions actions;

    auto memory = used_memory();
    cell measured_cell({.loads_per_second = 1e6, .load_burst = 1e6});
    for (std::size_t index = 0; index < engine_count; ++index)
        measured_cell.on_endpoint(make_engine(index), now, actions);
    print("engine_memory", (used_memory() - memory) / engine_count, "bytes");

    // Request each adapter once, so that the cell keeps state for it
    memory = used_memory();
    for (std::size_t index = 0; index < adapters; ++index)
    {
        now += std::chrono::milliseconds(10);
        measured_cell.on_request(make_grant_request(index, index, now), now, actions);
        carry_out(measured_cell, actions, now);
    }
    print("cell_adapter_memory", (used_memory() - memory) / adapters, "bytes");

    // Request, grant and release, with nine of ten requests for ten adapters
    auto const start = processor_us();
    for (std::size_t index = 0; index < requests; ++index)
    {
        now += std::chrono::milliseconds(1);
        auto const adapter = index % 10 == 0 ? index % adapters : index % 10;
        measured_cell.on_request(make_grant_request(adapters + index, adapter, now), now,
                                 actions);
        carry_out(measured_cell, actions, now);
    }
    print("decision_us", (processor_us() - start) / requests, "us");

    // Engine reports without a change
    auto const report_start = processor_us();
    for (std::size_t index = 0; index < requests; ++index)
    {
        now += std::chrono::microseconds(10);
        auto const report = make_engine(index % engine_count);
        measured_cell.on_endpoint(report, now, actions);
        actions.clear();
    }
    print("report_decision_us", (processor_us() - report_start) / requests, "us");
}

void measure_hosts()
{
    auto const memory = used_memory();
    host_record const self{.host = host_id::of("host-0"),
                           .zone = zone_id::of("zone"),
                           .region = region_id::of("region"),
                           .incarnation = 1};
    host_table table(self, {});
    membership_actions actions;
    auto const now = time_point(std::chrono::hours(1));
    for (std::size_t index = 1; index < host_count; ++index)
    {
        auto record = self;
        record.host = host_id::of(fmt::format("host-{}", index));
        table.merge(now, record, std::chrono::seconds(2), actions);
    }
    print("host_memory", (used_memory() - memory) / host_count, "bytes");
}

// Keys of organisations: the decision about a request, with every second key unknown
void measure_keys()
{
    constexpr std::size_t organisations = 16;
    constexpr std::size_t keys = 10'000;
    constexpr std::size_t requests = 1'000'000;
    std::vector<organisation> list(organisations);
    std::vector<std::string> sent;
    for (std::size_t index = 0; index < keys; ++index)
    {
        auto const key = fmt::format("key-{:016x}", hash_combine(index, 1));
        list[index % organisations].keys.push_back(key);
        sent.push_back(index % 2 == 0 ? key : fmt::format("no-{:016x}", index));
    }
    for (std::size_t index = 0; index < organisations; ++index)
        list[index].name = fmt::format("organisation-{}", index);
    auto const memory = used_memory();
    organisation_directory const directory(list, keys);
    print("key_memory", (used_memory() - memory) / keys, "bytes");

    std::size_t authorised = 0;
    auto const start = processor_us();
    for (std::size_t index = 0; index < requests; ++index)
        if (decide_access(&directory, {.value = sent[index * 7'919 % keys]}, false, true)
                .caller)
            ++authorised;
    print("key_decision_us", (processor_us() - start) / requests, "us");
    if (authorised != requests / 2)
        throw std::logic_error("wrong number of authorised requests");
}

// Size in bytes of an encoded message between hosts
template <class Wire, class Message>
double wire_bytes(Message const& message)
{
    capnp::MallocMessageBuilder builder;
    schema::encode(message, builder.initRoot<Wire>());
    return static_cast<double>(capnp::computeSerializedSizeInWords(builder) *
                               sizeof(capnp::word));
}

void measure_grants()
{
    // Grant request, reply, release report and its acknowledgement
    constexpr double four_messages = 4.0 * message_overhead;
    auto const content = wire_bytes<schema::GrantRequest>(serving::cell_grant_request{}) +
                         wire_bytes<schema::GrantReply>(serving::cell_grant_reply{
                             .decision = serving::cell_grant_reply::granted{}}) +
                         wire_bytes<schema::ReleaseReport>(serving::cell_release{}) +
                         wire_bytes<schema::Acknowledgement>(serving::acknowledgement{});
    print("grant_bytes", content + four_messages, "bytes");
}

void measure_messages()
{
    constexpr double two_messages = 2.0 * message_overhead;
    host_record const record;
    probe request;
    probe_reply reply;
    auto const budget = membership_options{}.max_gossip_bytes / encoded_size(record);
    request.updates.hosts.assign(budget, record);
    reply.updates.hosts.assign(budget, record);
    auto const probe_bytes =
        static_cast<double>(encoded_size(request) + encoded_size(reply));
    print("probe_bytes", probe_bytes + two_messages, "bytes");

    lease_request lease;
    lease_reply lease_answer;
    auto const empty =
        static_cast<double>(encoded_size(lease) + encoded_size(lease_answer));
    print("lease_bytes", empty + two_messages, "bytes");
    lease.wants.emplace_back();
    lease_answer.verdicts.emplace_back();
    auto const one =
        static_cast<double>(encoded_size(lease) + encoded_size(lease_answer));
    print("lease_resource_bytes", one - empty, "bytes");
}

} // namespace

int run_slopes(std::vector<std::string>& /*arguments*/)
{
    measure_sheet();
    measure_cell();
    measure_hosts();
    measure_keys();
    measure_messages();
    measure_grants();
    return 0;
}

} // namespace marjorampath::bench
