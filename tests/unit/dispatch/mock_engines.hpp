#pragma once

#include <marjorampath/deployment/endpoint_catalog.hpp>
#include <marjorampath/deployment/service_definition.hpp>

#include <fmt/format.h>

#include <cstdint>

namespace marjorampath::test
{

/// The service of all mock engines.
inline service_id mock_service()
{
    return service_id::of("models");
}

/// The definition of that service.
inline service_definition mock_service_definition()
{
    return {.id = mock_service(),
            .name = "models",
            .engine = engine_definition{.slots = 64,
                                        .cache_tokens = 232'000,
                                        .adapter_slots = 8,
                                        .models = {{.name = "m"}}}};
}

/// Identifier of a mock engine.
inline endpoint_id mock_engine(std::uint32_t index)
{
    return endpoint_id::of(fmt::format("engine-{}", index));
}

/// A change of a mock engine in zone `z`.
inline endpoint_event
mock_engine_event(std::uint32_t index, endpoint_change change = endpoint_change::appeared)
{
    return {.change = change,
            .endpoint = {.id = mock_engine(index),
                         .name = fmt::format("engine-{}", index),
                         .started_at_ms = 1,
                         .service = mock_service(),
                         .zone = zone_id::of("z"),
                         .slots = 64,
                         .models = {"m"}}};
}

} // namespace marjorampath::test
