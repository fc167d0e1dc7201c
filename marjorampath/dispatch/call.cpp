#include <marjorampath/core/hash.hpp>
#include <marjorampath/dispatch/call.hpp>

namespace marjorampath
{

std::uint64_t part_key(call const& request, prompt_part const& part)
{
    auto const& holder = request.adapter.empty() ? request.model : request.adapter;
    return hash_combine(hash_bytes(holder), part.id);
}

} // namespace marjorampath
