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

/// A Beast body that appends what is parsed to a string of the reader's choice, so that
/// a body can be passed on piece by piece.
struct append_body
{
    /// The string that pieces are appended to.
    struct value_type
    {
        /// Set before each parse; never null then.
        std::string* output = nullptr;
    };

    /// Beast's interface of a body that is parsed.
    class reader
    {
    public:
        /// Binds the body.
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

        /// Called once behind the last piece.
        void finish(boost::system::error_code& error)
        {
            error = {};
        }

    private:
        // Body of the message that is parsed
        value_type& value_;
    };
};

} // namespace marjorampath::serving
