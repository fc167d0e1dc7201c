namespace marjorampath::serving
{

template <entry_dialect Dialect>
std::string const& entry_exchange<Dialect>::quota_organisation() const
{
    static std::string const none;
    return request_.organisation ? *request_.organisation : none;
}

template <entry_dialect Dialect>
std::optional<duration> entry_exchange<Dialect>::take_quota()
{
    // The host that has the caller's connection counts a request that is passed on
    if (forwarded_here_ || quota_organisation().empty())
        return std::nullopt;
    auto const& organisation = quota_organisation();
    auto const units = context_->quotas.units_of(organisation, request_.tokens);
    auto const wait = context_->quotas.ask(organisation, units, begin_);
    if (!wait)
    {
        quota_units_ = units;
        return std::nullopt;
    }
    // Callers that are refused together do not return together
    constexpr std::size_t spread_steps = 1'000;
    auto const step = hash_bytes(request_.caller_attempt_id) % spread_steps;
    auto const& times = context_->times;
    return std::clamp(*wait, times.min_quota_pause, times.max_quota_pause) +
           times.min_quota_pause * step / spread_steps;
}

template <entry_dialect Dialect>
void entry_exchange<Dialect>::give_back_quota()
{
    if (quota_units_ > 0 && possible_runs_ == 0 && !has_run_)
        context_->quotas.give_back(quota_organisation(), quota_units_, boot_now());
}

} // namespace marjorampath::serving
