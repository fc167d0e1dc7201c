#pragma once

#include <serving/endpoint/answer_reader.hpp>

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/algorithm/string/trim.hpp>

#include <string>

namespace marjorampath::serving
{

/// The media type that an answer's head names, in lower case and without parameters;
/// empty if it names none.
inline std::string media_type(answer_reader::head const& head)
{
    auto const field = head[boost::beast::http::field::content_type];
    std::string const text(field.data(), field.size());
    return boost::algorithm::to_lower_copy(
        boost::algorithm::trim_copy(text.substr(0, text.find(';'))));
}

} // namespace marjorampath::serving
