#pragma once

#include <array>
#include <string_view>

namespace marjorampath
{

/// Marginal costs: bytes, processor time or memory per unit. They are read from the file
/// of measured slopes, which lists each value with the command that measured it.
struct measured_slopes
{
    /// Bytes of a probe and its reply, including gossip.
    double probe_bytes = 0;
    /// Bytes of a lease renewal and its reply, without resources.
    double lease_bytes = 0;
    /// Additional bytes per resource in a lease renewal and its reply.
    double lease_resource_bytes = 0;
    /// Bytes of a grant request, its reply and the release, in total.
    double grant_bytes = 0;
    /// Bytes of an engine report and the request for it.
    double engine_report_bytes = 0;
    /// Bytes that a host transfers to fetch one changed sheet.
    double sheet_change_bytes = 0;
    /// Processor time of one call between hosts, on both sides together, in microseconds.
    double call_us = 0;
    /// Processor time of one decision of a cell, in microseconds.
    double decision_us = 0;
    /// Processor time of parsing one engine report, in microseconds.
    double engine_report_us = 0;
    /// Processor time of parsing the sheet, per adapter, in microseconds.
    double sheet_adapter_us = 0;
    /// Memory of the sheet, per adapter, in bytes.
    double sheet_adapter_memory = 0;
    /// Memory of a host record, in bytes.
    double host_memory = 0;
    /// Memory of an engine in its cell, in bytes.
    double engine_memory = 0;
    /// Memory of an adapter version known to a cell, in bytes.
    double cell_adapter_memory = 0;
    /// Memory of one host of an idle fleet of three, in bytes.
    double base_memory = 0;
    /// Processor time of one host of an idle fleet of three, in microseconds per second.
    double base_us = 0;
};

/// Maps the name of a slope in the file to its member.
struct slope_field
{
    /// Name in the file.
    std::string_view name;
    /// Member that holds it.
    double measured_slopes::*member;
};

/// Fields of all slopes.
inline constexpr std::array slope_fields{
    slope_field{"probe_bytes", &measured_slopes::probe_bytes},
    slope_field{"lease_bytes", &measured_slopes::lease_bytes},
    slope_field{"lease_resource_bytes", &measured_slopes::lease_resource_bytes},
    slope_field{"grant_bytes", &measured_slopes::grant_bytes},
    slope_field{"engine_report_bytes", &measured_slopes::engine_report_bytes},
    slope_field{"sheet_change_bytes", &measured_slopes::sheet_change_bytes},
    slope_field{"call_us", &measured_slopes::call_us},
    slope_field{"decision_us", &measured_slopes::decision_us},
    slope_field{"engine_report_us", &measured_slopes::engine_report_us},
    slope_field{"sheet_adapter_us", &measured_slopes::sheet_adapter_us},
    slope_field{"sheet_adapter_memory", &measured_slopes::sheet_adapter_memory},
    slope_field{"host_memory", &measured_slopes::host_memory},
    slope_field{"engine_memory", &measured_slopes::engine_memory},
    slope_field{"cell_adapter_memory", &measured_slopes::cell_adapter_memory},
    slope_field{"base_memory", &measured_slopes::base_memory},
    slope_field{"base_us", &measured_slopes::base_us},
};

} // namespace marjorampath
