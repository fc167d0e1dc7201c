#pragma once

#include <marjorampath/adapter_load/reported_state.hpp>
#include <marjorampath/core/time.hpp>

#include <cstdint>
#include <optional>

namespace marjorampath
{

/// What a lease holder knew about an engine when it sent an order.
struct order_basis
{
    /// Adapter slots that are occupied, reserved or being freed.
    std::uint32_t occupied_slots = 0;
    /// Adapter slots of the engine.
    std::uint32_t adapter_slots = 0;
    /// Loads that are expected to be in progress.
    std::uint32_t loads_in_transit = 0;
    /// State of the order's adapter in the engine's last report.
    reported_state reported = reported_state::absent;
    /// Age of that report; unset if there is none.
    std::optional<duration> report_age;
};

} // namespace marjorampath
