#include <tests/unit/cell/cell_harness.hpp>

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <variant>

namespace marjorampath::testing
{

std::size_t fake_endpoint::run_count() const
{
    std::size_t count = 0;
    for (auto const& [adapter, requests] : running)
        count += requests.size();
    return count;
}

cell_harness::cell_harness(cell_options options, unsigned engines, std::uint32_t slots,
                           std::uint32_t concurrency)
    : tested(options), options_(options)
{
    for (unsigned number = 0; number < engines; ++number)
        report({.endpoint = engine(number),
                .kind = kind(),
                .zone = zone_id::of("zone-1"),
                .boot_number = 1,
                .adapter_slots = slots,
                .concurrency = concurrency,
                .resident = {}});
}

adapter_version_id cell_harness::adapter(std::string const& name)
{
    return name.empty() ? adapter_version_id() : adapter_version_id::of(name);
}

endpoint_id cell_harness::engine(unsigned number)
{
    return endpoint_id::of("engine-" + std::to_string(number));
}

endpoint_kind_id cell_harness::kind()
{
    return endpoint_kind_id::of("kind");
}

void cell_harness::report(endpoint_report const& report)
{
    endpoints[report.endpoint].report = report;
    tested.on_endpoint(report, now, out);
    apply();
}

request_id cell_harness::ask(std::string const& name, std::string const& team,
                             duration time_limit, std::uint32_t attempt)
{
    grant_request request;
    request.team = team_id::of(team);
    request.adapter = adapter(name);
    request.attempt = attempt;
    request.deadline = now + time_limit;
    request.max_tokens = 50;
    return ask(request);
}

request_id cell_harness::ask(grant_request request)
{
    request.request = request_id(next_request_++);
    request.entry = host_id::of("entry");
    request.endpoints = kind();
    asked_[request.request] = request;
    tested.on_request(request, now, out);
    apply();
    return request.request;
}

void cell_harness::release(request_id request, release_reason reason)
{
    auto const endpoint = granted_.at(request);
    endpoints[endpoint].running[asked_[request].adapter].erase(request);
    granted_.erase(request);
    tested.on_release({request, endpoint, reason, 40}, now, out);
    apply();
}

void cell_harness::release_all()
{
    auto const granted = granted_;
    for (auto const& [request, endpoint] : granted)
        release(request);
}

void cell_harness::finish_orders()
{
    for (auto& [id, endpoint] : endpoints)
    {
        for (auto const adapter : std::set(endpoint.unloading))
        {
            endpoint.unloading.erase(adapter);
            std::erase(endpoint.report.resident, adapter);
            tested.on_unload_finished(id, adapter, error_kind::none, now, out);
            apply();
        }
    }
    for (auto& [id, endpoint] : endpoints)
    {
        for (auto const adapter : std::set(endpoint.loading))
        {
            endpoint.loading.erase(adapter);
            auto const fails = failing.contains(adapter);
            if (!fails)
                endpoint.report.resident.push_back(adapter);
            tested.on_load_finished(id, adapter,
                                    fails ? error_kind::load_failed : error_kind::none,
                                    now, out);
            apply();
        }
    }
}

void cell_harness::advance(duration time)
{
    auto const end = now + time;
    for (auto next = tested.next_wakeup(); next && *next <= end;
         next = tested.next_wakeup())
    {
        now = std::max(now, *next);
        tested.on_tick(now, out);
        apply();

        // A wake-up that is not in the future would never end
        auto const following = tested.next_wakeup();
        BOOST_REQUIRE((!following || *following > now));
    }
    now = end;
}

void cell_harness::restart(endpoint_id id)
{
    auto& endpoint = endpoints.at(id);
    ++endpoint.report.boot_number;
    endpoint.report.resident.clear();
    endpoint.loading.clear();
    endpoint.unloading.clear();
    endpoint.running.clear();
    report(endpoint.report);
    auto const granted = granted_;
    for (auto const& [request, place] : granted)
        if (place == id && all_grants_.at(request) == id)
            release(request, release_reason::endpoint_lost);
}

void cell_harness::apply()
{
    auto const actions = std::move(out);
    out.clear();
    for (auto const& action : actions)
        std::visit([this](auto const& known) { apply(known); }, action);

    // Loads in transit stay within the bound
    std::size_t transit = 0;
    for (auto const& [id, endpoint] : endpoints)
        transit += endpoint.loading.size();
    BOOST_TEST(transit <= options_.loads_in_transit);
}

void cell_harness::apply(grant_action const& action)
{
    auto& endpoint = endpoints.at(action.endpoint);
    auto const& request = asked_.at(action.request);
    BOOST_TEST(!all_grants_.contains(action.request));
    BOOST_TEST(!refused_.contains(action.request));
    BOOST_TEST(!endpoint.report.leaving);
    BOOST_TEST(endpoint.report.reachable);
    BOOST_TEST(endpoint.run_count() < endpoint.report.concurrency);
    if (request.adapter)
        BOOST_TEST(
            (std::find(endpoint.report.resident.begin(), endpoint.report.resident.end(),
                       request.adapter) != endpoint.report.resident.end()));
    BOOST_TEST(!endpoint.unloading.contains(request.adapter));
    endpoint.running[request.adapter].insert(action.request);
    granted_[action.request] = action.endpoint;
    all_grants_[action.request] = action.endpoint;
}

void cell_harness::apply(refuse_action const& action)
{
    BOOST_TEST(!all_grants_.contains(action.request));
    BOOST_TEST(!refused_.contains(action.request));
    BOOST_TEST((answer_of(action.reason).result == outcome::not_run));
    BOOST_TEST(action.retry_after.count() > 0);
    refused_[action.request] = action;
}

void cell_harness::apply(load_action const& action)
{
    auto& endpoint = endpoints.at(action.endpoint);
    BOOST_TEST(orders_allowed);
    BOOST_TEST(!endpoint.report.leaving);
    auto const taken = endpoint.report.resident.size() + endpoint.loading.size();
    BOOST_TEST(taken < endpoint.report.adapter_slots);
    BOOST_TEST(endpoint.loading.insert(action.adapter).second);
    ++load_orders_[action.adapter];
}

void cell_harness::apply(unload_action const& action)
{
    auto& endpoint = endpoints.at(action.endpoint);
    BOOST_TEST(orders_allowed);
    BOOST_TEST(eviction_allowed);
    BOOST_TEST(endpoint.running[action.adapter].empty());
    BOOST_TEST(endpoint.unloading.insert(action.adapter).second);

    // Nobody waits for an adapter whose last copy goes
    auto const elsewhere =
        std::any_of(endpoints.begin(), endpoints.end(),
                    [&](auto const& entry)
                    {
                        auto const& resident = entry.second.report.resident;
                        return entry.first != action.endpoint &&
                               std::find(resident.begin(), resident.end(),
                                         action.adapter) != resident.end();
                    });
    auto const awaited = std::any_of(asked_.begin(), asked_.end(),
                                     [&](auto const& entry) {
                                         return entry.second.adapter == action.adapter &&
                                                tested.is_queued(entry.first);
                                     });
    BOOST_TEST((elsewhere || !awaited));
}

endpoint_id cell_harness::granted_at(request_id request) const
{
    auto const found = all_grants_.find(request);
    return found == all_grants_.end() ? endpoint_id() : found->second;
}

refuse_action const* cell_harness::refused(request_id request) const
{
    auto const found = refused_.find(request);
    return found == refused_.end() ? nullptr : &found->second;
}

unsigned cell_harness::load_orders(std::string const& name) const
{
    auto const found = load_orders_.find(adapter(name));
    return found == load_orders_.end() ? 0 : found->second;
}

} // namespace marjorampath::testing
