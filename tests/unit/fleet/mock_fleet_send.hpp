#pragma once

#include <marjorampath/gossip/message_size.hpp>
#include <tests/unit/fleet/mock_fleet.hpp>

namespace marjorampath::test
{

/// A visitor made of one function object for each alternative.
template <class... Cases>
struct cases : Cases...
{
    using Cases::operator()...;
};

template <class... Cases>
cases(Cases...) -> cases<Cases...>;

template <class Message, class Deliver>
void mock_fleet::send(std::size_t from, host_id to, Message const& message,
                      Deliver deliver)
{
    auto const target = index_of(to);
    if (target == places.size())
        return;
    if constexpr (requires { encoded_size(message); })
    {
        places[from].bytes += encoded_size(message);
        places[target].bytes += encoded_size(message);
    }
    network.send(from, target,
                 [this, target, message, deliver]
                 {
                     if (places[target].process)
                         deliver(target, *places[target].process, message);
                 });
}

} // namespace marjorampath::test
