#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional/optional.hpp>

#include <cstddef>
#include <cstdint>
#include <string>

namespace marjorampath::serving
{

/// A Beast body type whose reader appends each parsed piece to a string chosen before the
/// parse, so that a body can be forwarded piece by piece.
struct append_body
{
    /// The destination of the parsed pieces.
    struct value_type
    {
        /// Destination; not owned. Must be set before each parse.
        std::string* output = nullptr;
    };

    /// Implements Beast's BodyReader requirements.
    class reader
    {
    public:
        /// Refers to the body of the message being parsed.
        template <bool IsRequest, class Fields>
        reader(boost::beast::http::header<IsRequest, Fields>& /*head*/, value_type& value)
            : value_(value)
        {
        }

        /// Called once before the first piece.
        void init(boost::optional<std::uint64_t> const& /*length*/,
                  boost::system::error_code& error)
        {
            error = {};
        }

        /// Appends a piece.
        template <class Buffers>
        std::size_t put(Buffers const& buffers, boost::system::error_code& error)
        {
            std::size_t size = 0;
            for (auto const piece : boost::beast::buffers_range_ref(buffers))
            {
                value_.output->append(static_cast<char const*>(piece.data()),
                                      piece.size());
                size += piece.size();
            }
            error = {};
            return size;
        }

        /// Called once after the last piece.
        void finish(boost::system::error_code& error)
        {
            error = {};
        }

    private:
        // Body of the message being parsed
        value_type& value_;
    };
};

} // namespace marjorampath::serving
