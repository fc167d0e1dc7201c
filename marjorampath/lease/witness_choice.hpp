#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/lease/lease_options.hpp>
#include <marjorampath/membership/known_host.hpp>

#include <span>
#include <vector>

namespace marjorampath
{

/// Whether `left` precedes `right` in the order of witnesses: by incarnation, so that
/// older processes come first, then by host id.
bool older(host_record const& left, host_record const& right) noexcept;

/// The hosts to request leases from: in each zone the oldest ones that are not gone and
/// whose incarnation is known. If the views of hosts differ, the result may contain a
/// host that refuses. This never makes a lease unsafe, because a host grants by its own
/// view alone (`witness_activation`).
std::vector<host_id> choose_witnesses(std::span<known_host const> hosts,
                                      lease_options const& options);

} // namespace marjorampath
