#pragma once

#include <marjorampath/core/identifier.hpp>

#include <string>
#include <string_view>

namespace marjorampath
{

/// One row of the sheet's `non_idempotent` table: an operation that runs at most once.
struct non_idempotent_operation
{
    /// Service that the operation belongs to.
    service_id service;
    /// HTTP method, or `*` for any.
    std::string method;
    /// Path below the service, or a prefix that ends in `*`.
    std::string path;

    /// Whether a request of the rule's service is such an operation. The query part of
    /// `target` is ignored.
    [[nodiscard]] bool matches(std::string_view request_method,
                               std::string_view target) const noexcept;
};

} // namespace marjorampath
