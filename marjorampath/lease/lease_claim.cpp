#include <marjorampath/lease/lease_claim.hpp>

#include <algorithm>
#include <array>
#include <functional>

namespace marjorampath
{

lease_claim::lease_claim(leased_resource resource) : resource_(resource) {}

void lease_claim::add_grant(host_id witness, time_point until,
                            std::uint64_t fencing_number, std::uint64_t highest)
{
    auto& known = grants_[witness];
    known.until = std::max(known.until, until);
    if (fencing_number_ != 0 && fencing_number == fencing_number_ &&
        highest <= fencing_number_)
        known.confirmed_until = std::max(known.confirmed_until, until);
    observe_fencing_number(highest);
}

void lease_claim::observe_fencing_number(std::uint64_t fencing_number) noexcept
{
    highest_number_ = std::max(highest_number_, fencing_number);
}

void lease_claim::choose_fencing_number(std::uint64_t floor) noexcept
{
    // Keeps `previous_number_` if the highest known number is the one chosen last
    if (highest_number_ != fencing_number_ || fencing_number_ == 0)
        previous_number_ = highest_number_;
    fencing_number_ = std::max(highest_number_ + 1, floor);
    highest_number_ = fencing_number_;
    for (auto& [witness, known] : grants_)
        known.confirmed_until = {};
}

void lease_claim::clear() noexcept
{
    grants_.clear();
    fencing_number_ = 0;
    held = false;
    announced = false;
    other_preferred_since.reset();
}

template <class End>
time_point lease_claim::quorum_end(std::span<host_id const> witnesses,
                                   std::uint32_t quorum, End end) const
{
    // Evaluated before each order, so without heap allocation
    std::array<time_point, max_witnesses> ends;
    std::size_t count = 0;
    for (auto const& witness : witnesses)
    {
        auto const found = grants_.find(witness);
        if (found != grants_.end() && count < max_witnesses)
            ends[count++] = end(found->second);
    }
    if (count < quorum)
        return {};
    auto const nth = ends.begin() + quorum - 1;
    std::nth_element(ends.begin(), nth, ends.begin() + count, std::greater<>());
    return *nth;
}

time_point lease_claim::granted_until(std::span<host_id const> witnesses,
                                      std::uint32_t quorum) const
{
    return quorum_end(witnesses, quorum, [](grant const& known) { return known.until; });
}

time_point lease_claim::confirmed_until(std::span<host_id const> witnesses,
                                        std::uint32_t quorum) const
{
    return quorum_end(witnesses, quorum,
                      [](grant const& known) { return known.confirmed_until; });
}

} // namespace marjorampath
