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

/// The decisions that a cell host carries out; `marjorampath::cell` is one.
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

/// Called once with the result of an order.
using order_callback = std::function<void(error_kind)>;

/// Carries out the orders of a cell.
struct cell_orders
{
    /// Orders an engine to load an adapter version.
    std::function<void(load_action const&, order_callback)> load;
    /// Orders an engine to unload an adapter version.
    std::function<void(unload_action const&, order_callback)> unload;
};

/// Feeds the decisions of one cell with events, carries its actions out and wakes it.
/// Used on the control thread only.
template <cell_decisions Cell>
class cell_host
{
public:
    /// Joins a cell and who carries its orders out. `cell_arguments` construct the cell.
    template <class... CellArguments>
    cell_host(boost::asio::io_context& control, cell_orders orders,
              CellArguments&&... cell_arguments)
        : timer_(control), orders_(std::move(orders))
    {
        cell_.emplace(std::forward<CellArguments>(cell_arguments)...);
    }

    /// The cell, for events that this class has no function for; `feed` carries out what
    /// they lead to.
    Cell& decisions() noexcept
    {
        return *cell_;
    }

    /// Passes an event to the cell: `feed([&](Cell& cell, time_point now, cell_actions&
    /// out) { cell.on_endpoint(report, now, out); })`.
    template <class Event>
    void feed(Event&& event)
    {
        cell_actions actions;
        std::forward<Event>(event)(*cell_, boot_now(), actions);
        for (auto const& action : actions)
            std::visit([this](auto const& each) { this->carry_out(each); }, action);
        arm_timer();
    }

    /// An endpoint was listed or has reported.
    void on_endpoint(endpoint_report const& report)
    {
        endpoints_.insert_or_assign(report.endpoint, report);
        feed([&](Cell& cell, time_point now, cell_actions& out)
             { cell.on_endpoint(report, now, out); });
    }

    /// An endpoint is no longer listed.
    void on_endpoint_gone(endpoint_id endpoint)
    {
        endpoints_.erase(endpoint);
        feed([&](Cell& cell, time_point now, cell_actions& out)
             { cell.on_endpoint_gone(endpoint, now, out); });
    }

    /// Starts again with a cell that knows the endpoints only. Requests that wait are
    /// refused as `owner_unreachable`, so that they are put to the new owner.
    template <class... CellArguments>
    void reset(CellArguments&&... cell_arguments)
    {
        auto const waiting = std::exchange(waiting_, {});
        cell_.emplace(std::forward<CellArguments>(cell_arguments)...);
        for (auto const& [request, callback] : waiting)
            callback(refuse_action{.request = request,
                                   .entry = {},
                                   .reason = error_kind::owner_unreachable});
        auto const known = endpoints_;
        for (auto const& [endpoint, report] : known)
            on_endpoint(report);
    }

    /// Answers a grant request by this cell. The callback is called once, unless the
    /// request is withdrawn first.
    void request(grant_request const& question, grant_callback answer)
    {
        waiting_.insert_or_assign(question.request, std::move(answer));
        feed([&](Cell& cell, time_point now, cell_actions& out)
             { cell.on_request(question, now, out); });
    }

    /// A granted request no longer runs.
    void release(release_report const& report)
    {
        feed([&](Cell& cell, time_point now, cell_actions& out)
             { cell.on_release(report, now, out); });
    }

    /// Gives up on a request. Where it was granted already, the client releases it when
    /// the grant reaches it.
    void withdraw(request_id request)
    {
        if (waiting_.erase(request) > 0)
            feed([&](Cell& cell, time_point now, cell_actions& out)
                 { cell.on_cancel(request, now, out); });
    }

    /// The cell as a grant service; this object outlives it.
    grant_service as_service()
    {
        return {
            .request = [this](grant_request const& question, grant_callback answer)
            { request(question, std::move(answer)); },
            .release = [this](release_report const& report) { release(report); },
            .withdraw = [this](request_id request) { withdraw(request); },
        };
    }

private:
    // Answers a request
    template <class Action>
    void answer(Action const& action)
    {
        auto const found = waiting_.find(action.request);
        if (found == waiting_.end())
            return;
        auto const callback = std::move(found->second);
        waiting_.erase(found);
        callback(grant_reply(action));
    }

    void carry_out(grant_action const& action)
    {
        answer(action);
    }

    void carry_out(refuse_action const& action)
    {
        answer(action);
    }

    void carry_out(load_action const& action)
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

    void carry_out(unload_action const& action)
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

    // Wakes the cell when it asks for it
    void arm_timer()
    {
        auto const wakeup = cell_->next_wakeup();
        if (wakeup == armed_)
            return;
        armed_ = wakeup;
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
                armed_.reset();
                feed([](Cell& cell, time_point now, cell_actions& out)
                     { cell.on_tick(now, out); });
            });
    }

    // Wakes the cell
    boost::asio::steady_timer timer_;
    // Time that the timer is set to
    std::optional<time_point> armed_;
    // Carries out orders
    cell_orders orders_;
    // Requests that wait for an answer
    std::unordered_map<request_id, grant_callback> waiting_;
    // Endpoints as they last reported
    std::unordered_map<endpoint_id, endpoint_report> endpoints_;
    // The decisions; never empty
    std::optional<Cell> cell_;
};

} // namespace marjorampath::serving
