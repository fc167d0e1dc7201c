#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/lease/lease_options.hpp>
#include <marjorampath/membership/known_host.hpp>

#include <span>
#include <vector>

namespace marjorampath
{

/// Whether a host precedes another in the order of witnesses: the lower incarnation, that
/// is the older process, goes first.
bool older(host_record const& left, host_record const& right) noexcept;

/// The hosts to ask for leases: in each zone the oldest ones that are not gone. Where the
/// views of hosts differ this may name a host that refuses; it never makes a lease
/// unsafe, because a host grants by its own view alone (`witness_activation`).
std::vector<host_id> choose_witnesses(std::span<known_host const> hosts,
                                      lease_options const& options);

} // namespace marjorampath
