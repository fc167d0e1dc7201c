#include <tests/soak/key_check.hpp>
#include <tests/soak/soak_check.hpp>

#include <boost/json.hpp>

#include <fmt/format.h>

#include <map>

namespace marjorampath::test
{

namespace json = boost::json;

namespace
{

// The platform's bound on a revocation (`revokeMs`)
constexpr std::int64_t revocation_bound_ms = 5'000;

} // namespace

std::vector<std::string> check_keys(soak_evidence const& evidence)
{
    std::map<std::string, soak_request const*> requests;
    for (auto const& request : evidence.requests)
        requests[request.attempt] = &request;
    std::map<std::string, std::int64_t> revoked;
    for (auto const& each : evidence.revocations)
        revoked[each.organisation] = each.at_ms;

    std::vector<std::string> breaches;
    for (auto const& text : evidence.records)
    {
        auto const line = json::parse(text).as_object();
        auto const* attempt = line.if_contains("attempt");
        auto const found = line.at("event") == "run" && attempt
                               ? requests.find(std::string(attempt->as_string()))
                               : requests.end();
        if (found == requests.end())
            continue;
        auto const& request = *found->second;
        if (line.at("has_key").as_bool())
            breaches.push_back(
                fmt::format("an endpoint got the key of {}", found->first));
        if (line.at("organisation").as_string() != request.organisation)
            breaches.push_back(fmt::format("{} of {} ran for another organisation",
                                           found->first, request.organisation));
        auto const revocation = revoked.find(request.organisation);
        if (revocation != revoked.end() &&
            request.sent_ms > revocation->second + revocation_bound_ms)
            breaches.push_back(fmt::format(
                "{} ran at node {}, sent {} ms behind the revocation of its key",
                found->first, request.node, request.sent_ms - revocation->second));
    }
    return breaches;
}

} // namespace marjorampath::test
