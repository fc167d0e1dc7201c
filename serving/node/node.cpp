#include <serving/node/node.hpp>
#include <serving/node/signal_mask.hpp>
#include <serving/telemetry/log.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>
#include <exception>
#include <utility>

namespace marjorampath::serving
{

namespace
{

namespace asio = boost::asio;

} // namespace

node::node(node_settings settings)
    : settings_(std::move(settings)), signals_(control_), notice_timer_(control_),
      host_list_timer_(control_), fencing_source_(fencing_.as_fencing_source()),
      sheet_source_(
          control_.get_executor(),
          sheet_source::options{.server = {.server = settings_.configuration_service},
                                .delays = {}},
          sheets_,
          [this](std::shared_ptr<sheet const> const& new_sheet)
          { apply_sheet(new_sheet); },
          &node::log_sheet_failure),
      host_list_(control_.get_executor(),
                 http_reader::options{.server = settings_.host_list}),
      monitor_(control_,
               endpoint_monitor_options{.region = settings_.region,
                                        .interval = settings_.load_interval},
               endpoint_monitor_events{.on_report = [this](endpoint_report const& report)
                                       { cell_.on_endpoint(report); },
                                       .on_gone = [this](endpoint_id endpoint)
                                       { cell_.on_endpoint_gone(endpoint); }}),
      cell_(control_,
            cell_orders{.load =
                            [this](load_action const& action, order_callback done) {
                                execute_order(adapter_order::load, action.endpoint,
                                              action.adapter, std::move(done));
                            },
                        .unload =
                            [this](unload_action const& action, order_callback done)
                        {
                            execute_order(adapter_order::unload, action.endpoint,
                                          action.adapter, std::move(done));
                        }},
            settings_.policy),
      local_grants_(cell_.as_service()), grants_(local_grants_)
{
    make_fleet();
    make_workers();
}

node::~node() = default;

void node::make_fleet()
{
    if (!settings_.fleet.address)
        return;

    using cell_type = marjorampath::cell;
    auto const feed = [this](auto event) { cell_.feed(std::move(event)); };
    fleet_events events{
        .on_order_permission =
            [feed](bool allowed)
        {
            feed([allowed](cell_type& cell, time_point now, cell_actions& out)
                 { cell.on_orders_allowed(allowed, now, out); });
        },
        .on_eviction_permission =
            [feed](bool allowed)
        {
            feed([allowed](cell_type& cell, time_point now, cell_actions& out)
                 { cell.allow_eviction(allowed, now, out); });
        },
        .on_grant_registered =
            [feed](grant_registration const& held)
        {
            feed([&held](cell_type& cell, time_point now, cell_actions& out)
                 { cell.on_grant_registered(held, now, out); });
        },
        .on_entry_host_lost =
            [feed](host_id host)
        {
            feed([host](cell_type& cell, time_point now, cell_actions& out)
                 { cell.on_entry_host_lost(host, now, out); });
        },
        .on_deposed =
            [this, feed]
        {
            cell_.reset(settings_.policy);
            feed([](cell_type& cell, time_point now, cell_actions& out)
                 { cell.on_orders_allowed(false, now, out); });
        }};
    fleet_settings const own{.host = settings_.host,
                             .zone = settings_.zone,
                             .region = settings_.region,
                             .address = *settings_.fleet.address,
                             .zones = settings_.fleet.zones,
                             .witnesses_per_zone = settings_.fleet.witnesses_per_zone,
                             .longest_deadline =
                                 std::chrono::duration_cast<std::chrono::milliseconds>(
                                     settings_.limits.max_deadline),
                             .tls = settings_.fleet.tls};
    fleet_ = std::make_unique<fleet>(control_, own, local_grants_, std::move(events));
    grants_ = fleet_->as_service();
    fencing_source_ = fleet_->as_fencing_source();
}

void node::make_workers()
{
    auto const host = host_id::of(settings_.host);

    machine_resources const share{
        .memory_bytes =
            settings_.memory_mb * bytes_per_mebibyte / settings_.traffic_threads,
        .descriptors = settings_.descriptors / settings_.traffic_threads};

    // The start time makes request identifiers unique across restarts
    auto const start = static_cast<std::uint64_t>(wall_now().count());
    for (std::uint32_t index = 0; index < settings_.traffic_threads; ++index)
    {
        traffic_worker_options const options{
            .host = host,
            .limits = settings_.limits,
            .connections = settings_.connections,
            .resources = divide_resources(share),
            .request_seed = hash_combine(hash_combine(host.number(), start), index),
        };
        workers_.push_back(std::make_unique<traffic_worker>(options, control_, grants_));
    }
}

boost::system::error_code node::listen()
{
    auto address = settings_.callers;
    for (auto const& worker : workers_)
    {
        if (auto const error = worker->listen(address))
            return error;

        // All threads share the port that the first one was assigned
        address = worker->address();
    }
    return fleet_ ? boost::system::error_code(fleet_->open())
                  : boost::system::error_code();
}

std::optional<asio::ip::tcp::endpoint> node::peer_address() const
{
    if (!fleet_)
        return std::nullopt;
    return fleet_->address();
}

asio::ip::tcp::endpoint node::caller_address() const
{
    return workers_.front()->address();
}

void node::run()
{
    watch_signals();
    unblock_signals();
    asio::co_spawn(control_, sheet_source_.run(), asio::detached);
    asio::co_spawn(control_, read_host_list(), asio::detached);
    for (auto const& worker : workers_)
        worker->start();
    control_.run();
    for (auto const& worker : workers_)
        worker->join();
    if (!fleet_)
        return;

    // Nothing may use the fleet after it is destroyed
    fleet_->drain();
    grants_ = local_grants_;
    fencing_source_ = fencing_.as_fencing_source();
    fleet_.reset();
}

void node::watch_signals()
{
    boost::system::error_code ignored;
    signals_.add(SIGTERM, ignored);
    signals_.add(SIGINT, ignored);
    signals_.async_wait(
        [this](boost::system::error_code error, int /*signal*/)
        {
            if (error)
                return;
            shut_down();
            watch_signals();
        });
}

asio::awaitable<void> node::read_host_list()
{
    boost::system::error_code ignored;
    while (!stopping_)
    {
        auto result = co_await host_list_.read();
        if (result.error && host_list_reachable_ && !stopping_)
            log_event(event::host_list_unreachable, "error", result.error.message());
        host_list_reachable_ = !result.error;
        if (!result.error && result.hosts != hosts_)
        {
            hosts_ = std::move(result.hosts);
            log_event(event::host_list_changed, "hosts", hosts_.size());
            publish();
        }
        host_list_timer_.expires_after(settings_.host_list_interval);
        co_await host_list_timer_.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void node::apply_sheet(std::shared_ptr<sheet const> const& new_sheet)
{
    log_event(event::sheet_accepted, "number", new_sheet->number(), "adapters",
              new_sheet->tables().adapters.size());
    retire_versions(*new_sheet);
    applied_sheet_ = new_sheet;
    publish();
}

void node::retire_versions(sheet const& new_sheet)
{
    if (!applied_sheet_)
        return;
    for (auto const& assignment : applied_sheet_->tables().adapters)
        if (!new_sheet.find_version(assignment.id))
            cell_.feed([&](auto& cell, time_point now, cell_actions& out)
                       { cell.on_adapter_retired(assignment.id, now, out); });
}

void node::log_sheet_failure(sheet_source::failure const& failure)
{
    if (failure.error)
        log_event(event::sheet_fetch_failed, "error", failure.error.message());
    for (auto const& problem : failure.problems)
        log_event(event::sheet_rejected, "problem", problem.to_string());
}

void node::publish()
{
    if (fleet_)
        fleet_->update(hosts_);
    if (sheets_.current())
        monitor_.update(hosts_, *sheets_.current());
    routing_view const view{.sheet_in_force = sheets_.current(),
                            .endpoints = monitor_.endpoints(),
                            .stopping = stopping_};
    for (auto const& worker : workers_)
        worker->set_view(view);
}

std::optional<std::string> node::name_of(endpoint_id endpoint,
                                         adapter_version_id adapter) const
{
    auto const* version =
        sheets_.current() ? sheets_.current()->find_version(adapter) : nullptr;
    if (version)
        return version->qualified_name();

    // The name of a version from an earlier sheet comes from the engine's report
    return monitor_.resident_name(endpoint, adapter);
}

void node::execute_order(adapter_order kind, endpoint_id endpoint,
                         adapter_version_id adapter, order_callback done)
{
    auto const& endpoints = *monitor_.endpoints();
    auto const found = endpoints.find(endpoint);
    auto const name = name_of(endpoint, adapter);
    if (found == endpoints.end() || !name)
    {
        asio::post(control_, [done] { done(error_kind::load_failed); });
        return;
    }
    engine_order order{
        .endpoint = found->second, .kind = kind, .qualified_adapter = *name};
    engine_order_options options{.adapter_path = settings_.adapter_path};
    asio::co_spawn(
        control_, send_order(std::move(order), std::move(options), fencing_source_),
        [done = std::move(done)](std::exception_ptr const& failure, error_kind error)
        { done(failure ? error_kind::internal : error); });
}

void node::shut_down()
{
    // A second signal does not shorten a shutdown in progress
    if (stopping_)
        return;
    stopping_ = true;
    log_event(event::shutdown_started, "notice_ms", settings_.shutdown_notice.count());
    publish();

    // The load balancer may still send new callers until it notices
    notice_timer_.expires_after(settings_.shutdown_notice);
    notice_timer_.async_wait([this](boost::system::error_code) { stop_callers(); });
}

void node::stop_callers()
{
    // The next owner takes over while this host finishes its streams
    if (fleet_)
        fleet_->leave();
    workers_busy_ = workers_.size();
    for (auto const& worker : workers_)
        worker->stop_callers([this] { on_worker_drained(); });
}

void node::on_worker_drained()
{
    if (--workers_busy_ == 0)
        finish();
}

void node::finish()
{
    log_event(event::shutdown_finished);
    signals_.cancel();
    sheet_source_.stop();
    host_list_.close();
    host_list_timer_.cancel();
    monitor_.stop();
    if (fleet_)
        fleet_->close();
    control_.stop();
}

} // namespace marjorampath::serving
