#include <programs/marjorampath-bench/path_statistics.hpp>

#include <algorithm>

namespace marjorampath::bench
{

void path_statistics::add(path_statistics const& other)
{
    requests += other.requests;
    attempts += other.attempts;
    whole += other.whole;
    truncated += other.truncated;
    wrong += other.wrong;
    lost += other.lost;
    tokens += other.tokens;
    for (auto const& [name, count] : other.errors)
        errors[name] += count;
    latency_us.insert(latency_us.end(), other.latency_us.begin(), other.latency_us.end());
    first_token_us.insert(first_token_us.end(), other.first_token_us.begin(),
                          other.first_token_us.end());
}

std::uint32_t quantile(std::vector<std::uint32_t>& values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    auto const index =
        static_cast<std::size_t>(fraction * static_cast<double>(values.size()));
    return values[std::min(index, values.size() - 1)];
}

} // namespace marjorampath::bench
