#include <marjorampath/freshness/configuration_freshness.hpp>

#include <algorithm>

namespace marjorampath
{

void configuration_freshness::on_store_position(store_position position,
                                                time_point asked_at)
{
    markers_.push_back({.position = position, .asked_at = asked_at});
    if (markers_.size() > max_markers)
        markers_.pop_front();
}

void configuration_freshness::on_operator_read(operator_read const& read, time_point now)
{
    if (may_lack_changes(read, now) || read.stored_version != version_)
        return;
    prove(read.asked_at);
    for (auto const& each : markers_)
        if (each.position.era == read.complete.era && each.position <= read.complete)
            prove(each.asked_at);
    std::erase_if(markers_,
                  [&](marker const& each) { return each.position <= read.complete; });
}

bool configuration_freshness::may_lack_changes(operator_read const& read, time_point now)
{
    if (read.complete.era != era_)
    {
        era_ = read.complete.era;
        restored_version_ = read.stored_version.value_or(0);
        restored_until_ = now + options_.restore_time;
    }
    auto const is_rewritten = read.stored_version.value_or(0) > restored_version_;
    if (restored_until_ && (is_rewritten || now >= *restored_until_))
        restored_until_.reset();
    return restored_until_.has_value();
}

void configuration_freshness::prove(time_point at)
{
    proven_at_ = std::max(proven_at_.value_or(at), at);
}

std::optional<freshness_query> configuration_freshness::next_query(time_point now)
{
    auto const known = age(now);
    if (!options_.revocation_bound || now < next_query_at_ ||
        (known && *known < options_.query_age))
        return std::nullopt;
    next_query_at_ = now + options_.query_interval;
    queries_[++last_query_] = now;
    if (queries_.size() > max_queries)
        queries_.erase(queries_.begin());
    return freshness_query{.number = last_query_};
}

freshness_reply configuration_freshness::reply_to(freshness_query const& query,
                                                  time_point now) const
{
    return {.number = query.number, .version = version_, .age = age(now)};
}

void configuration_freshness::on_reply(freshness_reply const& reply)
{
    auto const query = queries_.extract(reply.number);

    // A host with a newer configuration tells nothing about the one of this host. A newer
    // one than the sender's was written after the sender's was current
    if (query && reply.age && reply.version <= version_)
        prove(query.mapped() - *reply.age);
}

std::optional<duration> configuration_freshness::age(time_point now) const
{
    return proven_at_ ? std::optional(now - *proven_at_) : std::nullopt;
}

bool configuration_freshness::is_confirmed(time_point now) const
{
    if (!options_.revocation_bound)
        return true;
    auto const known = age(now);
    return known && *known <= *options_.revocation_bound - options_.margin;
}

bool configuration_freshness::needs_store(time_point now) const
{
    if (!options_.revocation_bound || now < next_store_at_)
        return false;
    auto const known = age(now);
    return !known || std::chrono::duration<double>(*known) >
                         *options_.revocation_bound * options_.store_fraction;
}

} // namespace marjorampath
