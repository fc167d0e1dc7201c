#include <serving/engine/load_report.hpp>
#include <serving/node/endpoint_monitor.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace marjorampath::serving
{

namespace
{

namespace asio = boost::asio;

} // namespace

endpoint_monitor::endpoint_monitor(asio::io_context& control,
                                   endpoint_monitor_options options,
                                   endpoint_monitor_events events)
    : control_(&control), options_(std::move(options)), events_(std::move(events))
{
}

void endpoint_monitor::update(std::vector<host_entry> const& hosts,
                              sheet const& sheet_in_force)
{
    directory listed;
    for (auto const& host : hosts)
    {
        auto const kind = endpoint_kind_id::of(host.kind);
        if (host.role != host_role::endpoint || host.region != options_.region ||
            !sheet_in_force.find_endpoint_kind(kind))
            continue;
        directory_entry entry{
            .id = endpoint_id::of(host.name),
            .name = host.name,
            .address = host.address,
            .kind = kind,
            .zone = zone_id::of(host.zone),
            .leaving = host.state == host_state::leaving,
        };
        listed.insert_or_assign(entry.id, std::move(entry));
    }
    endpoints_ = std::make_shared<directory const>(std::move(listed));

    remove_unlisted_endpoints();
    for (auto const& [id, entry] : *endpoints_)
        update_endpoint(entry, *sheet_in_force.find_endpoint_kind(entry.kind));
}

void endpoint_monitor::remove_unlisted_endpoints()
{
    for (auto each = watched_.begin(); each != watched_.end();)
    {
        if (endpoints_->contains(each->first))
        {
            ++each;
            continue;
        }
        each->second->stopped = true;
        events_.on_gone(each->first);
        each = watched_.erase(each);
    }
}

void endpoint_monitor::update_endpoint(directory_entry const& entry,
                                       endpoint_kind const& kind)
{
    endpoint_report const listed{
        .endpoint = entry.id,
        .kind = entry.kind,
        .zone = entry.zone,
        .adapter_slots = kind.adapter_slots,
        .concurrency = kind.concurrency,
        .resident = {},
        .leaving = entry.leaving,
        .reachable = kind.adapter_slots == 0,
    };
    auto& state = watched_[entry.id];
    auto const added = state == nullptr;
    if (added)
        state = std::make_shared<watched_endpoint>();
    auto const leaving_changed = state->listed.leaving != listed.leaving;
    state->listed = listed;

    // Engines are reported after each poll; plain services are not polled
    if (kind.adapter_slots == 0)
    {
        if (added || leaving_changed)
            events_.on_report(listed);
        return;
    }
    if (!state->reader)
    {
        state->reader = std::make_shared<http_reader>(
            control_->get_executor(),
            http_reader::options{.server = entry.address, .timeout = options_.timeout});
        asio::co_spawn(*control_, poll_engine(state), asio::detached);
    }
}

asio::awaitable<void>
endpoint_monitor::poll_engine(std::shared_ptr<watched_endpoint> engine)
{
    asio::steady_timer pause(*control_);
    boost::system::error_code ignored;
    auto const reader = engine->reader;
    while (!engine->stopped)
    {
        auto const answer =
            co_await reader->get("/load", std::chrono::milliseconds::zero());
        if (engine->stopped)
            break;
        auto report =
            answer.error ? std::nullopt : read_load_report(answer.body, engine->listed);

        // An engine that stops answering is reported only once, as unreachable; the cell
        // keeps its state of the engine
        if (report)
        {
            engine->resident_names = std::move(report->resident_names);
            events_.on_report(report->endpoint);
        }
        else if (!engine->poll_failed)
            events_.on_report(engine->listed);
        engine->poll_failed = !report;

        pause.expires_after(options_.interval);
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

std::optional<std::string>
endpoint_monitor::resident_name(endpoint_id engine, adapter_version_id version) const
{
    auto const found = watched_.find(engine);
    if (found == watched_.end())
        return std::nullopt;
    for (auto const& name : found->second->resident_names)
        if (adapter_version_id::of(name) == version)
            return name;
    return std::nullopt;
}

void endpoint_monitor::stop()
{
    for (auto const& [id, each] : watched_)
    {
        each->stopped = true;
        if (each->reader)
            each->reader->close();
    }
    watched_.clear();
}

} // namespace marjorampath::serving
