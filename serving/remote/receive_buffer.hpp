#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <cstddef>

namespace marjorampath::serving
{

/// Bounds the bytes that a buffer holds before the parser consumes them, beyond what it
/// holds already.
///
/// The parser's limits hold for the head and for the data of the body. The lines between
/// chunks and the trailer are neither, and the parser waits for their end; a reader whose
/// buffer is full fails with `http::error::buffer_overflow`. `max_head_bytes` is the
/// parser's header limit, and `read_ahead_bytes` is read of a body at once.
inline void limit_unparsed(boost::beast::flat_buffer& buffer, std::size_t max_head_bytes,
                           std::size_t read_ahead_bytes)
{
    buffer.max_size(std::max(buffer.size(), max_head_bytes + read_ahead_bytes));
}

/// Bytes of a large body that are read at once.
inline constexpr std::size_t large_read_ahead_bytes = 65'536;

/// Whether a message was given up because a part of it exceeds its limit.
inline bool is_limit_error(boost::system::error_code code)
{
    using boost::beast::http::error;
    return code == error::header_limit || code == error::body_limit ||
           code == error::buffer_overflow;
}

} // namespace marjorampath::serving
