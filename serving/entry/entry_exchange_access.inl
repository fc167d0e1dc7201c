namespace marjorampath::serving
{

template <entry_dialect Dialect>
error_kind entry_exchange<Dialect>::check_access()
{
    auto const* organisations = context_->routes->organisations();
    auto const decision = decide_access(organisations, Dialect::caller_key(*message_),
                                        request_.matched_route->open,
                                        context_->freshness.is_confirmed(boot_now()));
    auto const refusal = error_of(decision.result);
    // A stream that has begun keeps its organisation
    if (!organisations || refusal != error_kind::none)
        return refusal;
    auto const* caller = decision.caller;
    request_.organisation = caller ? caller->name : std::string();
    request_.dispatch_call.priority = request_priority(
        caller ? caller->priority : std::nullopt, request_.matched_route->priority);
    return error_kind::none;
}

template <entry_dialect Dialect>
bool entry_exchange<Dialect>::is_access_error(error_kind kind) noexcept
{
    return kind == error_kind::unauthorized || kind == error_kind::malformed_request ||
           kind == error_kind::configuration_unconfirmed;
}

} // namespace marjorampath::serving
