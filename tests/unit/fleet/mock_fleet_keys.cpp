#include <tests/unit/fleet/mock_fleet.hpp>
#include <tests/unit/fleet/mock_fleet_send.hpp>

namespace marjorampath::test
{

std::optional<std::uint64_t> mock_fleet::order(std::size_t index, resource_id shard) const
{
    return places[index].process->holder.may_order(shard, clock(index));
}

void mock_fleet::tick_keys(std::size_t index)
{
    auto& process = *places[index].process;
    auto const now = clock(index);
    key_actions actions;
    for (auto& [shard, home] : process.homes)
    {
        home.on_tick(now, wall(index, false), actions);
        process.entry.set_home(now, shard, process.holder.owner_hint(shard, now),
                               actions);
    }
    process.entry.on_tick(now, actions);
    process.keys.forget_old(now);
    run(index, actions);
}

template <class Message, class Handle>
void mock_fleet::send_key(std::size_t from, host_id to, Message const& message,
                          Handle handle)
{
    send(from, to, message,
         [this, handle](std::size_t at, fleet_process& process, Message const& received)
         {
             key_actions next;
             handle(at, process, received, next);
             run(at, next);
         });
}

void mock_fleet::on_recovery(std::size_t index, key_recovery_request const& request)
{
    auto& process = *places[index].process;
    auto const reply = process.backup.on_recovery_request(
        clock(index), request, process.members.table().self().incarnation);
    send_key(index, request.home, reply,
             [this](std::size_t at, fleet_process& home, key_recovery_reply const& answer,
                    key_actions& next)
             {
                 home.homes.at(answer.shard)
                     .on_recovery_reply(clock(at), wall(at, false), answer, next);
             });
}

void mock_fleet::run(std::size_t index, key_actions& actions)
{
    auto const handle = cases{
        [&](send_key_message<key_begin> const& action)
        {
            send_key(index, action.to, action.message,
                     [this](std::size_t at, fleet_process& process,
                            key_begin const& message, key_actions& next)
                     {
                         process.homes.at(message.shard)
                             .on_begin(clock(at), order(at, message.shard), message,
                                       next);
                     });
        },
        [&](send_key_message<key_begin_reply> const& action)
        {
            send_key(index, action.to, action.message,
                     [this](std::size_t at, fleet_process& process,
                            key_begin_reply const& message, key_actions& next)
                     { process.entry.on_begin_reply(clock(at), message, next); });
        },
        [&](send_key_message<key_complete> const& action)
        {
            send_key(index, action.to, action.message,
                     [this](std::size_t at, fleet_process& process,
                            key_complete const& message, key_actions& next)
                     {
                         process.homes.at(message.shard)
                             .on_complete(clock(at), order(at, message.shard), message,
                                          next);
                     });
        },
        [&](send_key_message<key_complete_reply> const& action)
        {
            send_key(index, action.to, action.message,
                     [](std::size_t /*at*/, fleet_process& process,
                        key_complete_reply const& message, key_actions& /*next*/)
                     { process.entry.on_complete_reply(message); });
        },
        [&](send_key_message<key_copy> const& action)
        {
            auto const home = index;
            send_key(index, action.to, action.message,
                     [this, home](std::size_t at, fleet_process& process,
                                  key_copy const& message, key_actions& /*next*/)
                     {
                         auto const reply = process.backup.on_copy(clock(at), message);
                         send_key(at, places[home].host, reply,
                                  [this](std::size_t back, fleet_process& asker,
                                         key_copy_reply const& answer, key_actions& next)
                                  {
                                      asker.homes.at(answer.shard)
                                          .on_copy_reply(clock(back),
                                                         order(back, answer.shard),
                                                         answer, next);
                                  });
                     });
        },
        [&](send_key_message<key_snapshot> const& action)
        {
            auto const home = index;
            send_key(
                index, action.to, action.message,
                [this, home](std::size_t at, fleet_process& process,
                             key_snapshot const& message, key_actions& /*next*/)
                {
                    auto const reply = process.backup.on_snapshot(clock(at), message);
                    send_key(at, places[home].host, reply,
                             [this](std::size_t back, fleet_process& asker,
                                    key_snapshot_reply const& answer, key_actions& next) {
                                 asker.homes.at(answer.shard)
                                     .on_snapshot_reply(clock(back), answer, next);
                             });
                });
        },
        [&](send_key_message<key_recovery_request> const& action)
        {
            send_key(index, action.to, action.message,
                     [this](std::size_t at, fleet_process& /*process*/,
                            key_recovery_request const& message, key_actions& /*next*/)
                     { on_recovery(at, message); });
        },
        [&](key_decided const& action) { on_decided(index, action); },
        [&](raise_key_number const& action)
        {
            places[index].process->holder.raise_number(clock(index), wall(index, false),
                                                       action.shard);
        }};
    for (auto const& action : actions)
        std::visit(handle, action);
}

} // namespace marjorampath::test
