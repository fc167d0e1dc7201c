#pragma once

#include <marjorampath/core/identifier.hpp>
#include <marjorampath/sheet/adapter_assignment.hpp>
#include <marjorampath/sheet/endpoint_kind.hpp>
#include <marjorampath/sheet/non_idempotent_operation.hpp>
#include <marjorampath/sheet/service_contract.hpp>

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marjorampath
{

/// The rows of a sheet, before they are indexed.
struct sheet_tables
{
    /// Number of the sheet; a higher number replaces a lower one.
    std::uint64_t number = 0;
    /// Digest of the number and all parts (`sheet_manifest::digest`).
    std::uint64_t digest = 0;
    /// Table `endpoint_kinds`.
    std::vector<endpoint_kind> endpoint_kinds;
    /// Table `services`.
    std::vector<service_contract> services;
    /// Table `adapters`.
    std::vector<adapter_assignment> adapters;
    /// Table `non_idempotent`.
    std::vector<non_idempotent_operation> non_idempotent;
};

/// A validated sheet, indexed for look-up. Immutable; threads share it through
/// `std::shared_ptr<sheet const>`.
class sheet
{
public:
    /// Indexes tables that `read_sheet` has validated.
    explicit sheet(sheet_tables tables);

    /// The number of the sheet; a higher number replaces a lower one.
    [[nodiscard]] std::uint64_t number() const noexcept
    {
        return tables_.number;
    }

    /// The digest of the number and all parts.
    [[nodiscard]] std::uint64_t digest() const noexcept
    {
        return tables_.digest;
    }

    /// The rows, in the order of the parts.
    [[nodiscard]] sheet_tables const& tables() const noexcept
    {
        return tables_;
    }

    /// The service with the given name, or null.
    [[nodiscard]] service_contract const* find_service(std::string_view name) const;

    /// The service with the given identifier, or null.
    [[nodiscard]] service_contract const* find_service(service_id id) const;

    /// The endpoint kind with the given identifier, or null.
    [[nodiscard]] endpoint_kind const* find_endpoint_kind(endpoint_kind_id id) const;

    /// The adapter version that a service uses under an adapter name, or null.
    [[nodiscard]] adapter_assignment const* find_adapter(service_id service,
                                                         std::string_view adapter) const;

    /// One of the assignments of an adapter version to a service, or null if no service
    /// uses the version.
    [[nodiscard]] adapter_assignment const* find_version(adapter_version_id id) const;

    /// Whether the sheet lists an operation of a service as not idempotent.
    [[nodiscard]] bool is_non_idempotent(service_id service, std::string_view method,
                                         std::string_view target) const;

private:
    sheet_tables tables_;
    // Index into tables_.services
    std::unordered_map<service_id, std::size_t> services_;
    // Index into tables_.endpoint_kinds
    std::unordered_map<endpoint_kind_id, std::size_t> endpoint_kinds_;
    // Index into tables_.adapters, by the combined hash of service and adapter
    std::unordered_map<std::uint64_t, std::size_t> adapters_;
    // Index into tables_.adapters
    std::unordered_map<adapter_version_id, std::size_t> versions_;
    // Indices into tables_.non_idempotent, by service
    std::unordered_map<service_id, std::vector<std::size_t>> rules_;
};

} // namespace marjorampath
