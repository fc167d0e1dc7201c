#include <marjorampath/lease/witness_choice.hpp>

#include <algorithm>
#include <map>

namespace marjorampath
{

bool older(host_record const& left, host_record const& right) noexcept
{
    if (left.incarnation != right.incarnation)
        return left.incarnation < right.incarnation;
    return left.host < right.host;
}

std::vector<host_id> choose_witnesses(std::span<known_host const> hosts,
                                      lease_options const& options)
{
    std::map<zone_id, std::vector<host_record>> zones;
    for (auto const& host : hosts)
    {
        if (!host.gone() && host.record.incarnation != 0)
            zones[host.record.zone].push_back(host.record);
    }

    std::vector<host_id> chosen;
    for (auto const& zone : options.zones)
    {
        auto& records = zones[zone];
        std::sort(records.begin(), records.end(), older);
        if (records.size() > options.witnesses_per_zone)
            records.resize(options.witnesses_per_zone);
        for (auto const& record : records)
            chosen.push_back(record.host);
    }
    return chosen;
}

} // namespace marjorampath
