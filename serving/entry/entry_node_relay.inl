namespace marjorampath::serving
{

template <entry_platform Platform>
boost::asio::awaitable<void>
entry_node<Platform>::answer_relay(caller_session& session, caller_message const& message,
                                   caller_answer answer, relay_text& text)
{
    namespace http = boost::beast::http;
    auto const accepted = message[http::field::accept_encoding];
    if (accepted == zstd_encoding && !text.compressed().empty())
    {
        answer.body() = text.compressed();
        answer.set(http::field::content_encoding, zstd_encoding);
    }
    else
    {
        answer.body() = text.plain();
    }
    auto const large = answer.body().size() > max_unlimited_relay_bytes;
    if (large && large_relays_ >= max_large_relays)
    {
        answer = caller_answer(http::status::service_unavailable, 11);
        context_.metrics.count(relays_metric, "result", "busy");
        co_await session.send(std::move(answer));
        co_return;
    }
    context_.metrics.count(relays_metric, "result", "served");
    large_relays_ += large ? 1 : 0;
    co_await session.send(std::move(answer));
    large_relays_ -= large ? 1 : 0;
}

template <entry_platform Platform>
boost::asio::awaitable<void>
entry_node<Platform>::answer_listing_relay(caller_session& session,
                                           caller_message const& message)
{
    namespace http = boost::beast::http;
    caller_answer answer(http::status::ok, 11);
    if (catalog_.listed_at())
    {
        auto const now = boot_now();
        auto const milliseconds_since = [now](time_point time)
        { return fmt::to_string((now - time).count() / 1'000'000); };
        answer.set(listing_age_header, milliseconds_since(*catalog_.listed_at()));
        answer.set(available_for_header, milliseconds_since(*catalog_.available_since()));
    }
    set_position(answer, operator_change_field, source_.operator_data().change);
    set_position(answer, operator_complete_field, source_.operator_complete());
    if (message[http::field::if_none_match] == listing_tag(catalog_.position()))
    {
        answer.result(http::status::not_modified);
        context_.metrics.count(relays_metric, "result", "unchanged");
        co_await session.send(std::move(answer));
        co_return;
    }
    co_await answer_relay(session, message, std::move(answer), relayed_listing_);
}

template <entry_platform Platform>
boost::asio::awaitable<void>
entry_node<Platform>::answer_operator_relay(caller_session& session,
                                            caller_message const& message)
{
    auto const target = message.target();
    std::string_view const path(target.data(), target.size());
    auto const known = read_operator_position(path);
    auto const own = source_.operator_data();
    if (!operator_relay_.text || operator_relay_.from != known ||
        operator_relay_.to != own)
        operator_relay_ = {
            .from = known,
            .to = own,
            .text = std::make_shared<relay_text>(source_.relay_operator(known))};

    // Keeps the text while it is sent, as another one may replace it
    auto const text = operator_relay_.text;
    co_await answer_relay(session, message,
                          caller_answer(boost::beast::http::status::ok, 11), *text);
}

template <entry_platform Platform>
operator_position entry_node<Platform>::read_operator_position(std::string_view path)
{
    operator_position known;
    auto const number_after = [path](std::string_view name, std::uint64_t& number)
    {
        auto const found = path.find(name);
        if (found != std::string_view::npos)
            std::from_chars(path.data() + found + name.size(), path.data() + path.size(),
                            number);
    };
    number_after("after=", known.change.revision);
    number_after("configuration=", known.configuration.revision);
    number_after("after-era=", known.change.era);
    number_after("configuration-era=", known.configuration.era);
    return known;
}

template <entry_platform Platform>
std::string entry_node<Platform>::listing_tag(store_position position)
{
    if (position.era == 0)
        return fmt::format("\"{}\"", position.revision);
    return fmt::format("\"{}-{}\"", position.era, position.revision);
}

template <entry_platform Platform>
std::optional<std::uint64_t>
entry_node<Platform>::number_field(http_fetch_result const& fetched, char const* name)
{
    auto const text = fetched.answer[name];
    std::uint64_t number = 0;
    auto const* end = text.data() + text.size();
    auto const read = std::from_chars(text.data(), end, number);
    if (text.empty() || read.ec != std::errc{} || read.ptr != end)
        return std::nullopt;
    return number;
}

template <entry_platform Platform>
void entry_node<Platform>::set_position(caller_answer& answer,
                                        position_field const& field,
                                        store_position position)
{
    answer.set(field.revision, fmt::to_string(position.revision));
    if (position.era != 0)
        answer.set(field.era, fmt::to_string(position.era));
}

template <entry_platform Platform>
store_position entry_node<Platform>::read_position(http_fetch_result const& fetched,
                                                   position_field const& field)
{
    return {.era = number_field(fetched, field.era).value_or(0),
            .revision = number_field(fetched, field.revision).value_or(0)};
}

template <entry_platform Platform>
std::optional<duration>
entry_node<Platform>::duration_field(http_fetch_result const& fetched, char const* name)
{
    constexpr std::uint64_t longest_ms = 86'400'000;
    auto const number = number_field(fetched, name);
    if (!number)
        return std::nullopt;
    return std::chrono::milliseconds(std::min(*number, longest_ms));
}

template <entry_platform Platform>
std::optional<std::string>
entry_node<Platform>::relayed_body(http_fetch_result const& fetched)
{
    namespace http = boost::beast::http;
    if (!fetched.error && fetched.answer.result() == http::status::not_modified)
        return std::string();
    if (fetched.error || fetched.answer.result() != http::status::ok)
        return std::nullopt;
    if (fetched.answer[http::field::content_encoding] == zstd_encoding)
        return decompress_zstd(fetched.answer.body(), max_relay_answer_bytes);
    return fetched.answer.body();
}

template <entry_platform Platform>
boost::asio::awaitable<std::optional<typename entry_node<Platform>::relayed_contents>>
entry_node<Platform>::fetch_from_peer(peer_address peer, std::string path,
                                      std::optional<store_position> known_listing,
                                      relay_failures& failures)
{
    namespace http = boost::beast::http;
    http::request<http::string_body> request(http::verb::get, path, 11);
    request.set(http::field::accept_encoding, zstd_encoding);
    if (known_listing)
        request.set(http::field::if_none_match, listing_tag(*known_listing));
    boost::asio::ip::tcp::endpoint const address{
        boost::asio::ip::address_v4(peer.address), settings_.relay.port()};
    http_fetch_options const options{.timeout = times_.read_pause,
                                     .max_body_bytes = max_relay_answer_bytes};
    auto const requested_at = boot_now();
    auto const fetched = co_await http_fetch(address, std::move(request), options);
    auto const took = boot_now() - requested_at;
    auto body = relayed_body(fetched);
    context_.metrics.count(relay_reads_metric, "result", body ? "read" : "failed");
    if (!body)
    {
        log_event(event::relay_failed, "peer", address.address().to_string(), "path",
                  path, "error", fetched.error.message(), "status",
                  fetched.answer.result_int(), "bytes", fetched.received, "took_ms",
                  took.count() / 1'000'000);
        failures.add(peer, boot_now());
        co_return std::nullopt;
    }
    failures.remove(peer);
    auto const age =
        duration_field(fetched, listing_age_header).value_or(times_.max_listing_age);
    co_return relayed_contents{
        .body = std::move(*body),
        .peer = address.address().to_string(),
        .bytes = fetched.received,
        .took = took,
        .unchanged = fetched.answer.result() == http::status::not_modified,
        .age = age + took,
        .available_for =
            duration_field(fetched, available_for_header).value_or(age) + took,
        .operator_change = read_position(fetched, operator_change_field),
        .operator_complete = read_position(fetched, operator_complete_field)};
}

template <entry_platform Platform>
duration entry_node<Platform>::listing_age(time_point now) const
{
    return catalog_.listed_at() ? now - *catalog_.listed_at() : duration::max();
}

template <entry_platform Platform>
void entry_node<Platform>::log_listing_age(time_point now)
{
    if (!catalog_.listed_at())
        return;
    auto const age = listing_age(now);
    if (age > times_.fallback.max_listing_age)
    {
        if (old_listing_age_ == duration{0})
            log_event(event::listing_aged, "revision", catalog_.position().revision,
                      "age_ms", age.count() / 1'000'000);
        old_listing_age_ = std::max(old_listing_age_, age);
    }
    else if (old_listing_age_ != duration{0})
    {
        log_event(event::listing_renewed, "revision", catalog_.position().revision,
                  "age_ms",
                  std::exchange(old_listing_age_, duration{0}).count() / 1'000'000);
    }
}

template <entry_platform Platform>
relay_choice entry_node<Platform>::choose_relays_except(relay_failures& failures) const
{
    auto const now = boot_now();
    return choose_relays(
        fleet_.peers(),
        {.host = host_id::of(settings_.host),
         .zone = zone_id::of(settings_.zone),
         .operator_change = source_.operator_data().change,
         .configuration_version = context_.routes ? context_.routes->source().version : 0,
         .listing_position = catalog_.position(),
         .listing_age = listing_age(now),
         .other_zone_penalty = times_.other_zone_penalty,
         .failed_relays = failures.recent(now)},
        now);
}

template <entry_platform Platform>
boost::asio::awaitable<void> entry_node<Platform>::read_peer_operator()
{
    auto const choice = choose_relays_except(failed_operator_relays_);
    fallback_.note_operator_lag(choice.operator_update.has_value(), boot_now());
    if (!choice.operator_update || reading_peer_operator_)
        co_return;
    reading_peer_operator_ = true;
    auto const known = source_.operator_data();
    auto path = fmt::format("{}{}&configuration={}&after-era={}&configuration-era={}",
                            operator_relay_path, known.change.revision,
                            known.configuration.revision, known.change.era,
                            known.configuration.era);
    auto const relayed = co_await fetch_from_peer(
        *choice.operator_update, std::move(path), std::nullopt, failed_operator_relays_);
    reading_peer_operator_ = false;
    if (!relayed)
        co_return;
    auto const before = source_.operator_complete();
    auto const update = source_.read_relayed_operator(relayed->body);
    if (update.error)
    {
        log_event(event::relay_failed, "peer", relayed->peer, "path", operator_relay_path,
                  "error", update.error.message());
        failed_operator_relays_.add(*choice.operator_update, boot_now());
        co_return;
    }
    log_event(event::operator_relayed, "peer", relayed->peer, "revision",
              update.position.revision, "era", update.position.era, "own_revision",
              known.change.revision, "own_era", known.change.era, "bytes", relayed->bytes,
              "took_ms", relayed->took.count() / 1'000'000);
    apply_operator_update(update, before, "peer");
}

template <entry_platform Platform>
boost::asio::awaitable<void> entry_node<Platform>::read_peer_listing()
{
    auto const own_age = listing_age(boot_now());
    auto const choice = choose_relays_except(failed_listing_relays_);
    if (!choice.listing || own_age <= times_.max_listing_age || reading_peer_listing_)
        co_return;
    reading_peer_listing_ = true;
    auto const known = catalog_.position();
    auto const wanted_unless =
        catalog_.is_provisional() ? std::nullopt : std::optional(known);
    auto relayed =
        co_await fetch_from_peer(*choice.listing, std::string(listing_relay_path),
                                 wanted_unless, failed_listing_relays_);
    reading_peer_listing_ = false;
    if (!relayed)
        co_return;
    auto const now = boot_now();
    source_.confirm_operator(relayed->operator_change, relayed->operator_complete);
    if (relayed->unchanged)
    {
        catalog_.confirm_listing(now - relayed->age, known, now - relayed->available_for);
        co_return on_listing_renewed();
    }
    auto listing = source_.read_relayed_endpoints(relayed->body);
    if (listing.error)
    {
        log_event(event::relay_failed, "peer", relayed->peer, "path", listing_relay_path,
                  "error", listing.error.message());
        failed_listing_relays_.add(*choice.listing, boot_now());
        co_return;
    }
    log_event(event::view_relayed, "revision", listing.position.revision, "era",
              listing.position.era, "age_ms", relayed->age.count() / 1'000'000,
              "own_age_ms", own_age.count() / 1'000'000);
    listing.listed_at = now - relayed->age;
    listing.available_since = now - relayed->available_for;
    listing.relayed = std::move(relayed->body);
    apply_listing(std::move(listing), "peer");
}

} // namespace marjorampath::serving
