#pragma once

#include <marjorampath/cell/cell_action.hpp>
#include <marjorampath/cell/endpoint_report.hpp>
#include <serving/clock/boot_time.hpp>
#include <serving/node/grant_service.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <concepts>
#include <functional>
#include <optional>
#include <unordered_map>
#include <utility>

namespace marjorampath::serving
{

/// Requirements on the decision logic that a cell host runs; `marjorampath::cell`
/// satisfies them.
template <class Cell>
concept cell_decisions = requires(Cell& cell, grant_request const& request,
                                  release_report const& release,
                                  endpoint_report const& endpoint, cell_actions& out,
                                  time_point now)
{
    cell.on_request(request, now, out);
    cell.on_release(release, now, out);
    cell.on_cancel(request.request, now, out);
    cell.on_endpoint(endpoint, now, out);
    cell.on_endpoint_gone(endpoint.endpoint, now, out);
    cell.on_load_finished(endpoint.endpoint, request.adapter, error_kind::none, now, out);
    cell.on_unload_finished(endpoint.endpoint, request.adapter, error_kind::none, now,
                            out);
    cell.on_tick(now, out);
    {
        cell.next_wakeup()
        } -> std::convertible_to<std::optional<time_point>>;
};

/// Called once with the result of an order; `none` on success.
using order_callback = std::function<void(error_kind)>;

/// Functions that send a cell's orders to engines.
struct cell_orders
{
    /// Orders an engine to load an adapter version.
    std::function<void(load_action const&, order_callback)> load;
    /// Orders an engine to unload an adapter version.
    std::function<void(unload_action const&, order_callback)> unload;
};

/// Runs one cell: passes events to it, executes its actions and calls its `on_tick` at
/// the times that it requests. Must be used on the control thread only.
template <cell_decisions Cell>
class cell_host
{
public:
    /// Constructs the cell from `cell_arguments`. `control` must outlive this object.
    template <class... CellArguments>
    cell_host(boost::asio::io_context& control, cell_orders orders,
              CellArguments&&... cell_arguments)
        : timer_(control), orders_(std::move(orders))
    {
        cell_.emplace(std::forward<CellArguments>(cell_arguments)...);
    }

    /// The cell, for events without a function in this class; `feed` executes the actions
    /// that they lead to.
    Cell& decisions() noexcept
    {
        return *cell_;
    }

    /// Passes an event to the cell: calls `event(cell, now, actions)` with the boot time,
    /// executes the actions that it adds and sets the timer.
    template <class Event>
    void feed(Event&& event)
    {
        cell_actions actions;
        std::forward<Event>(event)(*cell_, boot_now(), actions);
        for (auto const& action : actions)
            std::visit([this](auto const& each) { this->execute(each); }, action);
        arm_timer();
    }

    /// Handles an endpoint that was added to the host list or has reported.
    void on_endpoint(endpoint_report const& report)
    {
        endpoints_.insert_or_assign(report.endpoint, report);
        feed([&](Cell& cell, time_point now, cell_actions& out)
             { cell.on_endpoint(report, now, out); });
    }

    /// Handles an endpoint that was removed from the host list.
    void on_endpoint_gone(endpoint_id endpoint)
    {
        endpoints_.erase(endpoint);
        feed([&](Cell& cell, time_point now, cell_actions& out)
             { cell.on_endpoint_gone(endpoint, now, out); });
    }

    /// Replaces the cell by a new one that has only the endpoint reports. Pending
    /// requests are refused with `owner_unreachable`, so that they are sent to the new
    /// owner.
    template <class... CellArguments>
    void reset(CellArguments&&... cell_arguments)
    {
        auto const pending = std::exchange(pending_requests_, {});
        cell_.emplace(std::forward<CellArguments>(cell_arguments)...);
        for (auto const& [request, callback] : pending)
            callback(refuse_action{.request = request,
                                   .entry = {},
                                   .reason = error_kind::owner_unreachable});
        auto const reports = endpoints_;
        for (auto const& [endpoint, report] : reports)
            on_endpoint(report);
    }

    /// Passes a grant request to the cell. The callback is called once, unless the
    /// request is withdrawn first.
    void request(grant_request const& query, grant_callback answer)
    {
        pending_requests_.insert_or_assign(query.request, std::move(answer));
        feed([&](Cell& cell, time_point now, cell_actions& out)
             { cell.on_request(query, now, out); });
    }

    /// Releases the grant of a request that no longer runs.
    void release(release_report const& report)
    {
        feed([&](Cell& cell, time_point now, cell_actions& out)
             { cell.on_release(report, now, out); });
    }

    /// Withdraws a pending request. If it was already granted, the client releases the
    /// grant when it receives it.
    void withdraw(request_id request)
    {
        if (pending_requests_.erase(request) > 0)
            feed([&](Cell& cell, time_point now, cell_actions& out)
                 { cell.on_cancel(request, now, out); });
    }

    /// Returns a grant service for the cell; this object must outlive it.
    grant_service as_service()
    {
        return {
            .request = [this](grant_request const& query, grant_callback answer)
            { request(query, std::move(answer)); },
            .release = [this](release_report const& report) { release(report); },
            .withdraw = [this](request_id request) { withdraw(request); },
        };
    }

private:
    // Calls and removes the callback of a request, unless it was withdrawn
    template <class Action>
    void answer(Action const& action)
    {
        auto const found = pending_requests_.find(action.request);
        if (found == pending_requests_.end())
            return;
        auto const callback = std::move(found->second);
        pending_requests_.erase(found);
        callback(grant_reply(action));
    }

    void execute(grant_action const& action)
    {
        answer(action);
    }

    void execute(refuse_action const& action)
    {
        answer(action);
    }

    void execute(load_action const& action)
    {
        orders_.load(action,
                     [this, action](error_kind error)
                     {
                         feed(
                             [&](Cell& cell, time_point now, cell_actions& out) {
                                 cell.on_load_finished(action.endpoint, action.adapter,
                                                       error, now, out);
                             });
                     });
    }

    void execute(unload_action const& action)
    {
        orders_.unload(action,
                       [this, action](error_kind error)
                       {
                           feed(
                               [&](Cell& cell, time_point now, cell_actions& out) {
                                   cell.on_unload_finished(
                                       action.endpoint, action.adapter, error, now, out);
                               });
                       });
    }

    // Sets the timer to the cell's next wakeup
    void arm_timer()
    {
        auto const wakeup = cell_->next_wakeup();
        if (wakeup == timer_expiry_)
            return;
        timer_expiry_ = wakeup;
        if (!wakeup)
        {
            timer_.cancel();
            return;
        }
        timer_.expires_after(std::max<duration>(*wakeup - boot_now(), duration::zero()));
        timer_.async_wait(
            [this](boost::system::error_code error)
            {
                if (error)
                    return;
                timer_expiry_.reset();
                feed([](Cell& cell, time_point now, cell_actions& out)
                     { cell.on_tick(now, out); });
            });
    }

    // Fires at the cell's next wakeup
    boost::asio::steady_timer timer_;
    // Time that the timer is set to; nothing if it is not running
    std::optional<time_point> timer_expiry_;
    // Sends orders to engines
    cell_orders orders_;
    // Callbacks of the requests without an answer
    std::unordered_map<request_id, grant_callback> pending_requests_;
    // Last report of each endpoint, for `reset`
    std::unordered_map<endpoint_id, endpoint_report> endpoints_;
    // The cell; never empty
    std::optional<Cell> cell_;
};

} // namespace marjorampath::serving
