#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/core/time.hpp>
#include <marjorampath/organisation/organisation.hpp>
#include <marjorampath/quota/quota_report.hpp>
#include <marjorampath/quota/quota_share.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace marjorampath
{

/// One host's shares of the quotas of all organisations.
class quota_registry
{
public:
    /// Constructs without quotas, for a process of a host that started at a time. It
    /// does not know the other hosts yet.
    quota_registry(quota_share_options options, host_id self, time_point started_at)
        : options_(options), self_(self), started_at_(started_at)
    {
    }

    /// Puts the quotas of a deployment in force. Organisations without a limit have none.
    void set_organisations(std::vector<organisation> const& organisations,
                           time_point now);

    /// Units of a request in its organisation's quota; zero if there is none. `tokens` is
    /// what the request says of itself, if it does.
    [[nodiscard]] double units_of(std::string_view organisation,
                                  std::optional<std::uint64_t> tokens) const;

    /// Lets a request through, or returns the time until the next one may be.
    std::optional<duration> ask(std::string_view organisation, double units,
                                time_point now);

    /// Counts a request that runs once more.
    void charge(std::string_view organisation, double units, time_point now);

    /// Gives back what a request that certainly did not run has taken.
    void give_back(std::string_view organisation, double units, time_point now);

    /// Processes a host's reports; those of an earlier heartbeat end. `established` says
    /// that the host has run for so long that it knows all others: an organisation that
    /// it does not report asks for much less than its limit.
    void on_reports(host_id host, std::vector<quota_report> const& reports,
                    bool established, time_point now);

    /// The reports for the other hosts: of organisations that ask for much.
    [[nodiscard]] std::vector<quota_report> reports(time_point now);

    /// Sets the hosts that share the quotas, and drops the reports of silent ones.
    void set_hosts(quota_hosts const& hosts, time_point now);

private:
    // Time for which the last reports of a host count
    static constexpr duration report_lifetime = std::chrono::seconds(3);

    struct entry
    {
        organisation_quota limit;
        quota_share share;
        quota_demand others;
    };

    struct host_reports
    {
        std::vector<quota_report> reports;
        time_point received_at;
    };

    [[nodiscard]] entry* find(std::string_view organisation);
    // Adds reports to what is known of the others, or takes them away
    void count(std::vector<quota_report> const& reports, double sign, time_point now);

    // Part of its first request by which an organisation's share begins in debt
    [[nodiscard]] double phase_of(std::uint64_t organisation) const;

    quota_share_options options_;
    host_id self_;
    time_point started_at_;
    quota_hosts quota_hosts_{.unknown_for = std::chrono::seconds(1)};
    // Whether an established host has reported
    bool heard_established_ = false;
    // By hash of the organisation's name
    std::map<std::uint64_t, entry> entries_;
    std::map<host_id, host_reports> hosts_;
};

} // namespace marjorampath
