#include <marjorampath/organisation/access_decision.hpp>
#include <marjorampath/organisation/organisation_directory.hpp>

#include <array>
#include <cassert>
#include <cstddef>

namespace marjorampath
{

namespace
{

using enum access_result;

struct result_row
{
    access_result result;
    std::string_view name;
    error_kind error;
};

constexpr std::array result_table{
    result_row{unrestricted, "unrestricted", error_kind::none},
    result_row{open, "open", error_kind::none},
    result_row{authorised, "authorised", error_kind::none},
    result_row{missing, "missing", error_kind::unauthorized},
    result_row{unknown, "unknown", error_kind::unauthorized},
    result_row{malformed, "malformed", error_kind::malformed_request},
    result_row{unconfirmed, "unconfirmed", error_kind::configuration_unconfirmed},
};

static_assert(result_table.size() == static_cast<std::size_t>(unconfirmed) + 1);

result_row const& row_of(access_result value) noexcept
{
    auto const& row = result_table.at(static_cast<std::size_t>(value));
    assert(row.result == value);
    return row;
}

} // namespace

std::string_view to_string(access_result value) noexcept
{
    return row_of(value).name;
}

error_kind error_of(access_result value) noexcept
{
    return row_of(value).error;
}

access_decision decide_access(organisation_directory const* directory,
                              access_key const& key, bool route_is_open,
                              bool confirmed) noexcept
{
    if (!directory)
        return {.result = unrestricted};
    if (route_is_open)
        return {.result = open};
    if (key.malformed)
        return {.result = malformed};
    if (key.value.empty())
        return {.result = missing};

    // An unknown key may have been added since
    if (!confirmed)
        return {.result = unconfirmed};
    auto const* caller = directory->find(key.value);
    return {.result = caller ? authorised : unknown, .caller = caller};
}

} // namespace marjorampath
