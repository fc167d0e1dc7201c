#include <marjorampath/core/hash.hpp>
#include <marjorampath/dispatch/call.hpp>

namespace marjorampath
{

std::uint64_t part_key(call const& request, prompt_part const& part)
{
    auto const& cache_scope = request.adapter.empty() ? request.model : request.adapter;
    return hash_combine(hash_bytes(cache_scope), part.id);
}

std::span<prompt_part const> shared_parts(call const& request)
{
    std::span<prompt_part const> const parts(request.parts);
    return parts.empty() ? parts : parts.first(parts.size() - 1);
}

} // namespace marjorampath
