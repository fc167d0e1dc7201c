#pragma once

#include <marjorampath/gossip/message_size.hpp>
#include <tests/unit/fleet/mock_fleet.hpp>

namespace marjorampath::test
{

/// A variant visitor that combines one function object per alternative.
template <class... Cases>
struct overloaded : Cases...
{
    using Cases::operator()...;
};

template <class... Cases>
overloaded(Cases...) -> overloaded<Cases...>;

template <class Message, class Deliver>
void mock_fleet::send(std::size_t from, host_id to, Message const& message,
                      Deliver deliver)
{
    auto const target = index_of(to);
    if (target == machines.size())
        return;
    if constexpr (requires { encoded_size(message); })
    {
        machines[from].bytes += encoded_size(message);
        machines[target].bytes += encoded_size(message);
    }
    network.send(from, target,
                 [this, target, message, deliver]
                 {
                     if (machines[target].process)
                         deliver(target, *machines[target].process, message);
                 });
}

} // namespace marjorampath::test
