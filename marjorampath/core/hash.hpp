#pragma once

#include <cstdint>
#include <string_view>

namespace marjorampath
{

/// A 64-bit non-cryptographic hash (XXH3) of a byte sequence.
///
/// The result is the same on every host and in every release, so it can be sent between
/// hosts and used for rendezvous hashing.
std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed = 0) noexcept;

/// Combines two hashes into one; the order of the arguments matters.
std::uint64_t hash_combine(std::uint64_t first, std::uint64_t second) noexcept;

} // namespace marjorampath
