#include <serving/clock/boot_time.hpp>
#include <serving/fleet/membership_agent.hpp>

#include <utility>
#include <variant>

namespace marjorampath::serving
{

namespace
{

// Time for which the reply to a probe is of use to its asker
constexpr duration reply_timeout = std::chrono::seconds(1);

// Bound of the calls that wait for a reply
constexpr std::size_t max_open_replies = 4'096;

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
        expect_reply(message.sender.host, message.sequence, std::move(reply));
        events_.take_news(message.sender.host, message.news);
        membership_actions actions;
        membership_.on_probe(boot_now(), message, actions);
        carry_out(actions);
    };
    service.on_indirect_probe =
        [this](indirect_probe const& message, reply_function<probe_reply> reply)
    {
        expect_reply(message.sender.host, message.sequence, std::move(reply));
        events_.take_news(message.sender.host, message.news);
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
    drop_expired(now);
    membership_actions actions;
    membership_.on_tick(now, actions);
    carry_out(actions);
}

void membership_agent::expect_reply(host_id asker, std::uint64_t sequence,
                                    reply_function<probe_reply> send)
{
    // Above the bound the asker gets no reply and asks another host
    if (replies_.size() < max_open_replies)
        replies_.insert_or_assign(
            probe_key(asker, sequence),
            open_reply{.send = std::move(send), .expires = boot_now() + reply_timeout});
}

void membership_agent::drop_expired(time_point now)
{
    std::erase_if(replies_,
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
    events_.add_news(message.news);
    peers_.call<Message>(to, message, reply_timeout,
                         [this](std::error_code error, probe_reply const& reply)
                         {
                             if (error)
                                 return;
                             events_.take_news(reply.sender.host, reply.news);
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
    auto const found = replies_.find(probe_key(action.to, action.message.sequence));
    if (found == replies_.end())
        return;
    auto const reply = std::move(found->second.send);
    replies_.erase(found);
    auto message = action.message;
    events_.add_news(message.news);
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
