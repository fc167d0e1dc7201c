#pragma once

/// Included first when the linter's compiler reads a file: kj 0.9 leaves these operators
/// out in C++20 and capnp/blob.h needs them, which clang 16 does not resolve otherwise.

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
