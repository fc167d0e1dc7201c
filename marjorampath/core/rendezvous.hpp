#pragma once

#include <marjorampath/core/identifier.hpp>

#include <algorithm>
#include <cstdint>
#include <span>
#include <vector>

namespace marjorampath
{

/// The weight of a candidate for a subject under rendezvous hashing; the candidate with
/// the highest weight is chosen (Thaler and Ravishankar 1998).
template <class Subject, class Candidate>
std::uint64_t rendezvous_weight(identifier<Subject> subject,
                                identifier<Candidate> candidate) noexcept
{
    return hash_combine(subject.number(), candidate.number());
}

/// The candidate with the highest weight for a subject, or the empty identifier where
/// there is no candidate. Independent of the candidates' order.
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

        // Equal weights are broken by the identifier, so that all hosts agree
        if (!best || weight > best_weight || (weight == best_weight && candidate > best))
        {
            best = candidate;
            best_weight = weight;
        }
    }
    return best;
}

/// All candidates in falling order of weight for a subject.
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
