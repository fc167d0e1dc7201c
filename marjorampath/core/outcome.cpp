#include <marjorampath/core/outcome.hpp>

#include <array>
#include <cstddef>

namespace marjorampath
{

namespace
{

// Names in the order of the enumerators
constexpr std::array<std::string_view, 3> outcome_names{"not-run", "ran", "unknown"};

} // namespace

std::string_view to_string(outcome value) noexcept
{
    return outcome_names.at(static_cast<std::size_t>(value));
}

std::optional<outcome> parse_outcome(std::string_view name) noexcept
{
    for (std::size_t index = 0; index < outcome_names.size(); ++index)
        if (outcome_names.at(index) == name)
            return static_cast<outcome>(index);
    return std::nullopt;
}

} // namespace marjorampath
