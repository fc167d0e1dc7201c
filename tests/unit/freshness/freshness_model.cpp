#include <tests/unit/freshness/freshness_model.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace marjorampath::test
{

using namespace std::chrono_literals;

namespace
{

constexpr duration bound = 5s;
constexpr std::size_t host_count = 4;
// Hosts that read the store regularly
constexpr std::size_t reader_count = 2;
constexpr duration watch_wait = 1s;

} // namespace

freshness_model::freshness_model(options values)
    : options_(values), random_(values.seed), hosts_(host_count)
{
}

std::vector<std::string> freshness_model::run()
{
    auto const end = now_ + options_.length;
    acknowledged_[newest_] = now_;
    for (std::size_t index = 0; index < host_count; ++index)
    {
        start_process(hosts_[index]);
        after(0s, [this, index] { tick(index); });
        after(0s, [this, index] { list_endpoints(index); });
    }
    after(1s, [this] { publish(); });
    after(3s, [this] { send_request(); });
    if (options_.faults)
        after(2s, [this] { inject_fault(); });
    while (!due_.empty() && due_.begin()->first <= end)
    {
        auto node = due_.extract(due_.begin());
        now_ = node.key();
        node.mapped()();
    }
    return breaches_;
}

void freshness_model::after(duration delay, std::function<void()> action)
{
    due_.emplace(now_ + delay, std::move(action));
}

void freshness_model::at_host(std::size_t index, duration delay,
                              std::function<void(host&)> action)
{
    after(delay,
          [this, index, action = std::move(action),
           incarnation = hosts_[index].incarnation]() mutable
          {
              auto& each = hosts_[index];
              if (each.incarnation != incarnation)
                  return;
              if (now_ < each.frozen_until)
                  at_host(index, each.frozen_until - now_, std::move(action));
              else
                  action(each);
          });
}

std::uint32_t freshness_model::draw(std::uint32_t limit)
{
    return static_cast<std::uint32_t>(random_() % limit);
}

duration freshness_model::message_delay()
{
    if (options_.faults && draw(10) == 0)
        return std::chrono::milliseconds(draw(4'000));
    return std::chrono::milliseconds(1 + draw(20));
}

void freshness_model::start_process(host& each)
{
    configuration_freshness::options options{.revocation_bound = bound};
    if (options_.used == defect::plain_age)
    {
        options.query_age = 0s;
        options.query_interval = 0s;
    }
    each.freshness = configuration_freshness(options);
    each.version = 0;
    each.reading = false;
    ++each.incarnation;
}

void freshness_model::tick(std::size_t index)
{
    after(100ms, [this, index] { tick(index); });
    auto& each = hosts_[index];
    if (now_ < each.frozen_until)
        return;
    auto const asks_store = each.version != 0 && each.freshness.needs_store(now_);
    if (!each.reading && (index < reader_count || each.version == 0 || asks_store))
    {
        each.freshness.on_store_asked(now_);
        read_store(index, index < reader_count && each.version != 0);
    }
    if (auto const query = each.freshness.next_query(now_))
        ask_peer(index, *query);
    if (draw(3) == 0)
        copy_version(index);
}

void freshness_model::read_store(std::size_t index, bool waits)
{
    auto& each = hosts_[index];
    each.reading = true;
    auto const asked_at = now_;
    at_host(index, watch_wait + 700ms, [](host& reader) { reader.reading = false; });
    if (now_ < each.store_cut_until)
        return;
    after(message_delay(),
          [this, index, asked_at, waits, known = each.version]
          {
              auto const held = waits && store_.version <= known ? watch_wait : 0s;
              after(held, [this, index, asked_at] { answer_read(index, asked_at); });
          });
}

void freshness_model::answer_read(std::size_t index, time_point asked_at)
{
    at_host(index, message_delay(),
            [this, asked_at, answer = store_](host& each)
            {
                if (now_ < each.store_cut_until)
                    return;
                each.version = std::max(each.version, answer.version);
                each.freshness.on_configuration(each.version);
                operator_read read{.asked_at = asked_at,
                                   .complete = answer.position,
                                   .stored_version = {}};
                if (options_.used == defect::time_of_answer)
                    read.asked_at = now_;
                if (answer.version == each.version)
                    read.stored_version = answer.version;
                each.freshness.on_operator_read(read, now_);
                each.reading = false;
            });
}

void freshness_model::list_endpoints(std::size_t index)
{
    after(800ms, [this, index] { list_endpoints(index); });
    auto const asked_at = now_;
    if (index >= reader_count || now_ < hosts_[index].store_cut_until)
        return;
    after(message_delay(),
          [this, index, asked_at]
          {
              // Endpoints write all the time
              ++store_.position.revision;
              at_host(index, message_delay(),
                      [this, asked_at, position = store_.position](host& each)
                      {
                          if (now_ >= each.store_cut_until)
                              each.freshness.on_store_position(position, asked_at);
                      });
          });
}

void freshness_model::ask_peer(std::size_t index, freshness_query query)
{
    auto const other = (index + 1 + draw(host_count - 1)) % host_count;
    if (now_ < hosts_[index].peers_cut_until || now_ < hosts_[other].peers_cut_until)
        return;
    auto const asker = hosts_[index].incarnation;
    at_host(other, message_delay(),
            [this, index, query, asker](host& asked)
            {
                auto const reply = asked.freshness.reply_to(query, now_);
                if (hosts_[index].incarnation == asker)
                    at_host(index, message_delay(),
                            [this, reply](host& each)
                            {
                                if (now_ >= each.peers_cut_until)
                                    take_reply(each, reply);
                            });
            });
}

void freshness_model::take_reply(host& to, freshness_reply reply)
{
    // As if the query had been sent when the reply arrived
    if (options_.used == defect::plain_age)
        if (auto const query = to.freshness.next_query(now_))
            reply.number = query->number;
    to.freshness.on_reply(reply);
}

void freshness_model::copy_version(std::size_t index)
{
    auto const other = (index + 1 + draw(host_count - 1)) % host_count;
    if (now_ < hosts_[index].peers_cut_until || now_ < hosts_[other].peers_cut_until)
        return;
    at_host(index, message_delay(),
            [this, version = hosts_[other].version](host& each)
            {
                if (now_ < each.peers_cut_until || version <= each.version)
                    return;
                each.version = version;
                each.freshness.on_configuration(version);
            });
}

void freshness_model::send_request()
{
    after(std::chrono::milliseconds(5 + draw(40)), [this] { send_request(); });
    auto const key = newest_ + 2 - std::min<std::uint64_t>(newest_, draw(5));
    auto const sent_at = now_;
    at_host(draw(host_count), std::chrono::milliseconds(draw(30)),
            [this, key, sent_at](host& each)
            {
                if (each.version == 0)
                    return;
                if (!each.freshness.is_confirmed(now_))
                {
                    ++refused_;
                    return;
                }
                if (key <= each.version)
                    return;
                ++accepted_;
                auto const revoked = acknowledged_.find(key);
                if (revoked != acknowledged_.end() && sent_at > revoked->second + bound)
                    breaches_.push_back(fmt::format(
                        "seed {}: a key ran {} ms behind its revocation", options_.seed,
                        (sent_at - revoked->second).count() / 1'000'000));
            });
}

void freshness_model::publish()
{
    after(std::chrono::milliseconds(200 + draw(3'000)), [this] { publish(); });
    acknowledged_[++newest_] = now_;
    store_.version = newest_;
    ++store_.position.revision;
}

void freshness_model::inject_fault()
{
    after(std::chrono::milliseconds(300 + draw(3'000)), [this] { inject_fault(); });
    auto& each = hosts_[draw(host_count)];
    auto const until = now_ + std::chrono::milliseconds(500 + draw(9'000));
    switch (draw(6))
    {
    case 0:
        each.frozen_until = until;
        break;
    case 1:
        each.store_cut_until = until;
        break;
    case 2:
        each.store_cut_until = until;
        each.peers_cut_until = until;
        break;
    case 3:
        for (auto& all : hosts_)
            all.store_cut_until = until;
        break;
    case 4:
        start_process(each);
        break;
    default:
        restore_store();
        break;
    }
}

void freshness_model::restore_store()
{
    // The copy is some seconds old; what the operator wrote since is written again
    copy_ = store_;
    after(std::chrono::milliseconds(draw(4'000)),
          [this]
          {
              store_.version = copy_.version;
              ++store_.position.era;
              store_.position.revision = copy_.position.revision;
              after(std::chrono::milliseconds(100 + draw(3'000)),
                    [this]
                    {
                        if (store_.version == newest_)
                            return;
                        store_.version = newest_;
                        ++store_.position.revision;
                    });
          });
}

} // namespace marjorampath::test
