#include <marjorampath/deployment/call_kind.hpp>

#include <array>

namespace marjorampath
{

std::string_view to_string(call_kind kind) noexcept
{
    // Published names; some differ from the enumerators
    constexpr std::array<std::string_view, 4> names{"safe", "unsafe", "stream",
                                                    "resumable_stream"};
    return names.at(static_cast<std::size_t>(kind));
}

} // namespace marjorampath
