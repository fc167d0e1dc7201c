#include <serving/clock/boot_time.hpp>
#include <serving/fleet/lease_agent.hpp>
#include <serving/telemetry/log.hpp>

#include <utility>
#include <variant>

namespace marjorampath::serving
{

namespace
{

// Time after which the answer of a witness is of no use
constexpr duration answer_timeout = std::chrono::milliseconds(700);

// Time between two removals of what ended long ago
constexpr duration tidying_interval = std::chrono::seconds(1);

} // namespace

lease_agent::lease_agent(host_id self, lease_options const& options,
                         host_table const& hosts, fleet_peers& peers, lease_events events)
    : self_(self), hosts_(hosts), peers_(peers), events_(std::move(events)),
      holder_(self, options), witness_(self, options), activation_(options)
{
}

void lease_agent::serve(node_service& service)
{
    service.on_lease =
        [this](lease_request const& request, reply_function<lease_reply> const& reply)
    { reply(judge(request)); };
    service.on_lease_release =
        [this](lease_release const& release, reply_function<acknowledgement> const& reply)
    {
        take_release(release);
        reply({});
    };
}

void lease_agent::set_resources(std::vector<leased_resource> const& resources)
{
    lease_actions actions;
    holder_.set_resources(boot_now(), resources, actions);
    carry_out(actions);
}

lease_reply lease_agent::judge(lease_request const& request)
{
    auto const now = boot_now();
    take_hosts(now);
    return witness_.on_request(now, request, incarnation_, activation_);
}

void lease_agent::take_hosts(time_point now)
{
    incarnation_ = hosts_.self().incarnation;
    activation_.update(now, self_, hosts_.hosts());
    if (hosts_.revision() == revision_)
        return;
    revision_ = hosts_.revision();
    holder_.set_hosts(hosts_.hosts(), incarnation_);
}

void lease_agent::on_tick()
{
    auto const now = boot_now();
    take_hosts(now);
    if (now >= next_tidying_)
    {
        witness_.forget_old(now);
        next_tidying_ = now + tidying_interval;
    }

    lease_actions actions;
    holder_.on_tick(now, wall_now(), actions);
    carry_out(actions);
}

void lease_agent::leave()
{
    lease_actions actions;
    holder_.leave(boot_now(), actions);
    carry_out(actions);
}

void lease_agent::take_reply(lease_reply const& reply)
{
    lease_actions actions;
    holder_.on_reply(boot_now(), wall_now(), reply, actions);
    carry_out(actions);
}

void lease_agent::take_release(lease_release const& release)
{
    auto const now = boot_now();
    witness_.on_release(now, release);
    if (release.successor == self_)
        holder_.on_handover(now, release);
}

void lease_agent::carry_out(lease_actions const& actions)
{
    for (auto const& action : actions)
        std::visit([this](auto const& each) { carry_out(each); }, action);
}

void lease_agent::carry_out(send_lease_request const& action)
{
    // A witness that is this host itself is asked without a call
    if (action.to == self_)
        return take_reply(judge(action.request));
    peers_.call<lease_request>(action.to, action.request, answer_timeout,
                               [this](std::error_code error, lease_reply const& reply)
                               {
                                   if (!error)
                                       take_reply(reply);
                               });
}

void lease_agent::carry_out(send_lease_release const& action)
{
    if (action.to == self_)
        return take_release(action.release);

    // A lost release costs the successor the rest of the term
    peers_.call<lease_release>(action.to, action.release, answer_timeout,
                               [](std::error_code, acknowledgement const&) {});
}

void lease_agent::carry_out(lease_acquired const& action)
{
    log_event(event::lease_gained, "resource", action.resource, "number",
              action.fencing_number);
    events_.on_acquired(action);
}

void lease_agent::carry_out(lease_lost const& action)
{
    log_event(event::lease_lost, "resource", action.resource, "reason",
              static_cast<int>(action.reason));
    events_.on_lost(action);
}

} // namespace marjorampath::serving
