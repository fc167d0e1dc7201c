#include <serving/clock/boot_time.hpp>
#include <serving/node/local_fencing.hpp>

#include <algorithm>

namespace marjorampath::serving
{

namespace
{

// Low bits below the clock's seconds, for increments after refusals
constexpr unsigned clock_shift_bits = 16;

std::uint64_t initial_number() noexcept
{
    auto const seconds = std::chrono::duration_cast<std::chrono::seconds>(wall_now());
    return static_cast<std::uint64_t>(seconds.count()) << clock_shift_bits;
}

} // namespace

fencing_source local_fencing::as_fencing_source()
{
    return {
        .current =
            [this]
        {
            if (highest_ == 0)
                highest_ = initial_number();
            return std::optional<std::uint64_t>(highest_);
        },
        .on_refused = [this](std::uint64_t number)
        { highest_ = std::max(highest_, number + 1); },
    };
}

} // namespace marjorampath::serving
