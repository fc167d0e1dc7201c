namespace marjorampath::serving
{

template <entry_platform Platform>
std::optional<caller_answer>
entry_node<Platform>::refuse_head(caller_message const& message)
{
    using dialect = typename Platform::dialect;
    if (!context_.routes || !context_.routes->organisations())
        return std::nullopt;
    auto const* matched = dialect::find_route(message, *context_.routes);
    if (!matched)
        return std::nullopt;
    auto const now = boot_now();
    auto const key = dialect::caller_key(message);
    auto const decision =
        decide_access(context_.routes->organisations(), key, matched->open,
                      context_.freshness.is_confirmed(now));
    context_.metrics.count(access_metric, "result", to_string(decision.result));
    if (decision.caller)
        context_.metrics.count(organisations_metric, "organisation",
                               organisation_labels_.label(decision.caller->name));
    auto const kind = error_of(decision.result);
    if (kind == error_kind::none)
        return std::nullopt;
    auto const attempt = dialect::caller_attempt_id(message);
    log_event(event::access_refused, "request", attempt, "reason",
              to_string(decision.result), "key_digest",
              fmt::format("{:08x}", key_digest(key.value)), "route", matched->name,
              "config", context_.routes->source().version, "config_age_ms",
              configuration_age_ms(now));
    context_.metrics.count(answers_metric, "kind", answer_of(kind).name);
    return dialect::error_answer(
        {.kind = kind, .message = {}, .retry_after = context_.times.retry_pause},
        attempt);
}

template <entry_platform Platform>
bool entry_node<Platform>::confirms_configuration() const
{
    return settings_.revocation_bound && context_.routes &&
           context_.routes->organisations();
}

template <entry_platform Platform>
std::int64_t entry_node<Platform>::configuration_age_ms(time_point now) const
{
    auto const age = context_.freshness.age(now);
    return age ? age->count() / 1'000'000 : -1;
}

template <entry_platform Platform>
void entry_node<Platform>::note_operator_read(operator_update const& update,
                                              time_point requested_at)
{
    if (!update.error && !update.more)
        context_.freshness.on_operator_read(
            {.asked_at = requested_at,
             .complete = source_.operator_complete(),
             .stored_version = source_.stored_configuration()},
            boot_now());
}

template <entry_platform Platform>
void entry_node<Platform>::confirm_configuration(time_point now)
{
    if (!confirms_configuration())
        return;
    auto const confirmed = context_.freshness.is_confirmed(now);
    if (confirmed != was_confirmed_)
        log_event(confirmed ? event::configuration_confirmed
                            : event::configuration_unconfirmed,
                  "config", context_.routes->source().version, "age_ms",
                  configuration_age_ms(now), "queries", context_.freshness.queries());
    was_confirmed_ = confirmed;
    auto const age = context_.freshness.age(now);
    context_.metrics.shard.number(configuration_age_metric)
        .set(std::chrono::duration<double>(age.value_or(now - started_at_)).count());

    auto const query = context_.freshness.next_query(now);
    if (!query)
        return;
    auto const host = choose_freshness_peer(fleet_.peers(),
                                            {.host = host_id::of(settings_.host),
                                             .zone = zone_id::of(settings_.zone),
                                             .age = age,
                                             .number = query->number,
                                             .urgent = !confirmed},
                                            now);
    if (host)
        fleet_.query_freshness(*query, host);
}

template <entry_platform Platform>
void entry_node<Platform>::log_organisation_problems(deployment const& configuration)
{
    auto const log = [&](organisation_problems const& problems)
    {
        for (auto const& problem : problems)
            log_event(event::organisation_ignored, "organisation", problem.organisation,
                      "reason", problem.reason, "key_digest",
                      fmt::format("{:08x}", problem.key_digest), "config",
                      configuration.version);
    };
    if (!configuration.organisations)
        return;
    log(configuration.organisations->problems);
    log(context_.routes->organisations()->problems());
}

} // namespace marjorampath::serving
