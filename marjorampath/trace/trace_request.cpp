#include <marjorampath/trace/trace_request.hpp>

#include <array>
#include <cstddef>

namespace marjorampath
{

namespace
{

// Names in the order of the enumerators
constexpr std::array<std::string_view, 3> expectation_names{"whole", "not-run", "any"};

} // namespace

std::string_view to_string(expected_outcome value) noexcept
{
    return expectation_names.at(static_cast<std::size_t>(value));
}

std::optional<expected_outcome> parse_expected_outcome(std::string_view name) noexcept
{
    for (std::size_t index = 0; index < expectation_names.size(); ++index)
        if (expectation_names.at(index) == name)
            return static_cast<expected_outcome>(index);
    return std::nullopt;
}

} // namespace marjorampath
