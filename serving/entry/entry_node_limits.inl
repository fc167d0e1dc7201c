namespace marjorampath::serving
{

template <entry_platform Platform>
std::optional<permit_reply> entry_node<Platform>::request_permit(endpoint_id endpoint,
                                                                 std::uint64_t number)
{
    auto const now = boot_now();
    auto const step = context_.rate_limits.request_permit(endpoint, fleet_.peers(), now);
    auto limit = context_.rate_limits.notice_of(endpoint, now);
    if (!step.ask)
        return permit_reply{
            .number = number, .granted = step.granted, .wait = step.wait, .limit = limit};
    fleet_.request_permit({.number = number, .limit = limit}, step.ask);
    return std::nullopt;
}

template <entry_platform Platform>
permit_reply entry_node<Platform>::on_permit_request(permit_request const& request)
{
    apply_peer_rate_limit(request.limit);
    return context_.rate_limits.on_request(request, fleet_.peers(), boot_now());
}

template <entry_platform Platform>
void entry_node<Platform>::on_permit_reply(permit_reply const& reply)
{
    apply_peer_rate_limit(reply.limit);
    context_.permit_replies.deliver(reply);
}

template <entry_platform Platform>
void entry_node<Platform>::report_rate_limit(rate_limit_notice const& notice)
{
    auto const owner = choose_permit_owner(fleet_.peers(), notice.endpoint, boot_now());
    if (owner.host != host_id::of(settings_.host))
        fleet_.report_rate_limit(notice, owner.host);
}

template <entry_platform Platform>
void entry_node<Platform>::apply_peer_rate_limit(rate_limit_notice const& notice)
{
    if (!context_.apply_rate_limit(notice, boot_now()))
        return;
    auto const* endpoint = catalog_.find(notice.endpoint);
    log_event(event::rate_limit_changed, "endpoint",
              endpoint ? endpoint->name : std::string("-"), "limit",
              notice.rate.value_or(-1), "source", "peer");
}

} // namespace marjorampath::serving
