#pragma once

/// Included ahead of every file that clang compiles: kj 0.9 omits these operators in
/// C++20, but capnp/blob.h needs them, and clang 16 cannot resolve the comparisons
/// without them.

#include <kj/string.h>

namespace kj
{

inline bool operator==(char const* left, StringPtr const& right)
{
    return right == StringPtr(left);
}

inline bool operator!=(char const* left, StringPtr const& right)
{
    return right != StringPtr(left);
}

} // namespace kj
