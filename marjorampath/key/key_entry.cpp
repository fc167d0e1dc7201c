#include <marjorampath/key/key_entry.hpp>

#include <utility>

namespace marjorampath
{

key_entry::key_entry(host_id self, key_options options, key_memory& memory)
    : self_(self), options_(options), memory_(memory)
{
}

void key_entry::begin(time_point now, key_begin begin, host_id home, key_actions& actions)
{
    begin.entry = self_;
    auto const request = begin.request;
    attempt started;
    started.begin = begin;
    started.home = home;
    started.expires = now + options_.lifetime;
    auto& known = attempts_[request] = std::move(started);
    send(now, known, actions);
}

void key_entry::send(time_point now, attempt& known, key_actions& actions) const
{
    known.resend_at = now + options_.resend;
    if (!known.home)
        return;
    if (known.now_at == stage::asking)
        actions.push_back(send_key_message<key_begin>{known.home, known.begin});
    if (known.now_at == stage::reporting)
        actions.push_back(send_key_message<key_complete>{
            known.home, key_complete{.shard = known.begin.shard,
                                     .key = known.begin.key,
                                     .request = known.begin.request,
                                     .entry = self_,
                                     .state = known.state,
                                     .answer = known.answer}});
}

void key_entry::set_home(time_point now, resource_id shard, host_id home,
                         key_actions& actions)
{
    for (auto& [request, known] : attempts_)
    {
        if (known.begin.shard != shard || known.home == home)
            continue;
        known.home = home;
        send(now, known, actions);
    }
}

void key_entry::on_begin_reply(time_point now, key_begin_reply const& reply,
                               key_actions& actions)
{
    // A request of an earlier process of this host may have run: nothing is said of it
    auto const found = attempts_.find(reply.request);
    if (found == attempts_.end())
        return;
    auto& known = found->second;
    if (known.now_at == stage::reporting && known.state == key_state::not_run &&
        reply.verdict == key_verdict::run)
        return send(now, known, actions);
    if (known.now_at != stage::asking)
        return;
    if (reply.verdict == key_verdict::not_home ||
        reply.verdict == key_verdict::unavailable)
        return;

    actions.push_back(key_decided{
        .request = reply.request, .verdict = reply.verdict, .answer = reply.answer});
    if (reply.verdict != key_verdict::run)
    {
        attempts_.erase(found);
        return;
    }
    known.now_at = stage::running;
    known.number = reply.attempt;
    memory_.merge(now, known.begin.shard,
                  key_record{.key = known.begin.key,
                             .fingerprint = known.begin.fingerprint,
                             .request = known.begin.request,
                             .attempt = known.number,
                             .entry = self_,
                             .state = key_state::running,
                             .key_time = known.begin.key_time,
                             .answer = {},
                             .age = duration{0}});
}

bool key_entry::give_up(time_point now, request_id request, key_actions& actions)
{
    auto const found = attempts_.find(request);
    if (found == attempts_.end() || found->second.now_at != stage::asking)
        return false;
    report(now, found->second, key_state::not_run, {}, actions);
    return true;
}

void key_entry::complete(time_point now, request_id request, key_state state,
                         std::string answer, key_actions& actions)
{
    auto const found = attempts_.find(request);
    if (found == attempts_.end() || found->second.now_at != stage::running)
        return;
    report(now, found->second, state, std::move(answer), actions);
}

void key_entry::report(time_point now, attempt& known, key_state state,
                       std::string answer, key_actions& actions)
{
    known.now_at = stage::reporting;
    known.state = state;
    known.answer = std::move(answer);
    if (known.number != 0)
        memory_.merge(now, known.begin.shard,
                      key_record{.key = known.begin.key,
                                 .fingerprint = known.begin.fingerprint,
                                 .request = known.begin.request,
                                 .attempt = known.number,
                                 .entry = self_,
                                 .state = state,
                                 .key_time = known.begin.key_time,
                                 .answer = known.answer,
                                 .age = duration{0}});
    send(now, known, actions);
}

void key_entry::on_complete_reply(key_complete_reply const& reply)
{
    auto const found = attempts_.find(reply.request);
    if (found == attempts_.end() || found->second.now_at != stage::reporting ||
        !reply.accepted)
        return;

    // A given-up attempt is kept for the late answers that may still start it
    if (found->second.state == key_state::not_run)
    {
        found->second.home = {};
        return;
    }
    attempts_.erase(found);
}

void key_entry::on_tick(time_point now, key_actions& actions)
{
    std::erase_if(attempts_,
                  [&](auto const& entry) {
                      return entry.second.now_at == stage::reporting &&
                             entry.second.expires < now;
                  });
    for (auto& [request, known] : attempts_)
    {
        if (known.now_at != stage::running && known.resend_at <= now)
            send(now, known, actions);
    }
}

} // namespace marjorampath
