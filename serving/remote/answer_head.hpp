#pragma once

#include <boost/system/error_code.hpp>

#include <cstddef>
#include <optional>
#include <string_view>

namespace marjorampath::serving
{

/// Most interim answers (1xx) that are skipped before a final one.
inline constexpr unsigned max_interim_answers = 8;

/// What the head of an HTTP answer says of it.
struct answer_head_check
{
    /// Set if the head is invalid: an error of `boost::beast::http::error`.
    boost::system::error_code error;
    /// Whether the answer is interim and a final one follows.
    bool interim = false;
};

/// Length of the head at the beginning of `bytes`, with the empty line that ends it;
/// empty if its end has not been received.
std::optional<std::size_t> find_head_end(std::string_view bytes);

/// Checks the head of an answer before it is parsed. `bytes` ends with its empty line.
///
/// The parser accepts more than RFC 9110 and RFC 9112 allow, and what it accepts would be
/// passed on. A head is valid if its status is from 200 to 599, or from 100 to 199 other
/// than 101; its version is 1.0 or 1.1; each line is a token, a colon and a value without
/// control characters; no line is folded; and the length of the body is stated once, by
/// digits or as `chunked` alone.
answer_head_check check_answer_head(std::string_view bytes);

} // namespace marjorampath::serving
