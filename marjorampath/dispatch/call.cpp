#include <marjorampath/core/hash.hpp>
#include <marjorampath/dispatch/call.hpp>

namespace marjorampath
{

std::uint64_t part_key(call const& request, prompt_part const& part)
{
    auto const& cache_scope = request.adapter.empty() ? request.model : request.adapter;
    return hash_combine(hash_bytes(cache_scope), part.id);
}

} // namespace marjorampath
