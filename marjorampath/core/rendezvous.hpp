#pragma once

#include <marjorampath/core/identifier.hpp>

#include <algorithm>
#include <cstdint>
#include <span>
#include <vector>

namespace marjorampath
{

/// The weight of a candidate for a subject in rendezvous hashing (Thaler and Ravishankar
/// 1998). The candidate with the highest weight is chosen.
template <class Subject, class Candidate>
std::uint64_t rendezvous_weight(identifier<Subject> subject,
                                identifier<Candidate> candidate) noexcept
{
    return hash_combine(subject.number(), candidate.number());
}

/// The candidate with the highest weight for a subject, or the empty identifier if there
/// is no candidate. The result does not depend on the order of the candidates.
template <class Subject, class Candidate>
identifier<Candidate>
rendezvous_choice(identifier<Subject> subject,
                  std::span<identifier<Candidate> const> candidates) noexcept
{
    identifier<Candidate> best;
    std::uint64_t best_weight = 0;
    for (auto const& candidate : candidates)
    {
        auto const weight = rendezvous_weight(subject, candidate);

        // Break ties by identifier, so that all hosts choose the same candidate
        if (!best || weight > best_weight || (weight == best_weight && candidate > best))
        {
            best = candidate;
            best_weight = weight;
        }
    }
    return best;
}

/// All candidates in descending order of weight for a subject.
template <class Subject, class Candidate>
std::vector<identifier<Candidate>>
rendezvous_order(identifier<Subject> subject,
                 std::span<identifier<Candidate> const> candidates)
{
    std::vector<identifier<Candidate>> order(candidates.begin(), candidates.end());
    std::sort(order.begin(), order.end(),
              [&](auto const& left, auto const& right)
              {
                  auto const left_weight = rendezvous_weight(subject, left);
                  auto const right_weight = rendezvous_weight(subject, right);
                  return left_weight != right_weight ? left_weight > right_weight
                                                     : left > right;
              });
    return order;
}

} // namespace marjorampath
