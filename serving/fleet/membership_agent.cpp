#include <serving/clock/boot_time.hpp>
#include <serving/fleet/membership_agent.hpp>

#include <utility>
#include <variant>

namespace marjorampath::serving
{

namespace
{

// Timeout of a probe, sent or received; a later reply is of no use to the requester
constexpr duration reply_timeout = std::chrono::seconds(1);

// Largest number of probes of other hosts that wait for a reply
constexpr std::size_t max_pending_replies = 4'096;

} // namespace

membership_agent::membership_agent(host_record const& self, membership_options options,
                                   fleet_peers& peers, membership_events events)
    : peers_(peers), events_(std::move(events)),
      membership_(self, options,
                  boost::random::mt19937(static_cast<std::uint32_t>(
                      hash_combine(self.host.number(), self.incarnation))))
{
}

void membership_agent::serve(node_service& service)
{
    service.on_probe = [this](probe const& message, reply_function<probe_reply> reply)
    {
        add_pending_reply(message.sender.host, message.sequence, std::move(reply));
        events_.apply_updates(message.sender.host, message.updates);
        membership_actions actions;
        membership_.on_probe(boot_now(), message, actions);
        carry_out(actions);
    };
    service.on_indirect_probe =
        [this](indirect_probe const& message, reply_function<probe_reply> reply)
    {
        add_pending_reply(message.sender.host, message.sequence, std::move(reply));
        events_.apply_updates(message.sender.host, message.updates);
        membership_actions actions;
        membership_.on_indirect_probe(boot_now(), message, actions);
        carry_out(actions);
    };
}

void membership_agent::on_host_list(std::span<listed_host const> list)
{
    membership_actions actions;
    membership_.on_host_list(boot_now(), list, actions);
    carry_out(actions);
}

void membership_agent::on_tick()
{
    auto const now = boot_now();
    remove_expired_replies(now);
    membership_actions actions;
    membership_.on_tick(now, actions);
    carry_out(actions);
}

void membership_agent::add_pending_reply(host_id requester, std::uint64_t sequence,
                                         reply_function<probe_reply> send)
{
    // Above the bound the requester gets no reply and asks another host
    if (pending_replies_.size() < max_pending_replies)
        pending_replies_.insert_or_assign(
            probe_key(requester, sequence),
            pending_reply{.send = std::move(send),
                          .expires = boot_now() + reply_timeout});
}

void membership_agent::remove_expired_replies(time_point now)
{
    std::erase_if(pending_replies_,
                  [now](auto const& entry) { return entry.second.expires <= now; });
}

void membership_agent::carry_out(membership_actions const& actions)
{
    for (auto const& action : actions)
        std::visit([this](auto const& each) { carry_out(each); }, action);
}

template <class Message>
void membership_agent::send(host_id to, Message message)
{
    events_.add_updates(message.updates);
    peers_.call<Message>(to, message, reply_timeout,
                         [this](std::error_code error, probe_reply const& reply)
                         {
                             if (error)
                                 return;
                             events_.apply_updates(reply.sender.host, reply.updates);
                             membership_actions actions;
                             membership_.on_probe_reply(boot_now(), reply, actions);
                             carry_out(actions);
                         });
}

void membership_agent::carry_out(send_probe const& action)
{
    send(action.to, action.message);
}

void membership_agent::carry_out(send_indirect_probe const& action)
{
    send(action.to, action.message);
}

void membership_agent::carry_out(send_probe_reply const& action)
{
    auto const found =
        pending_replies_.find(probe_key(action.to, action.message.sequence));
    if (found == pending_replies_.end())
        return;
    auto const reply = std::move(found->second.send);
    pending_replies_.erase(found);
    auto message = action.message;
    events_.add_updates(message.updates);
    reply(message);
}

void membership_agent::carry_out(host_changed const& action)
{
    events_.on_host(action);
}

void membership_agent::carry_out(own_incarnation_changed const& /*action*/)
{
    events_.on_new_incarnation();
}

} // namespace marjorampath::serving
