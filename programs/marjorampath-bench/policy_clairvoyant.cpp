#include <programs/marjorampath-bench/policy_clairvoyant.hpp>
#include <programs/marjorampath-bench/policy_store.hpp>

#include <algorithm>
#include <chrono>
#include <limits>
#include <map>
#include <set>
#include <utility>

namespace marjorampath::bench
{

namespace
{

// Next use of an adapter that is not requested again
constexpr auto never = std::numeric_limits<std::size_t>::max();
// Time of a load at full speed of the store
constexpr duration load_time = std::chrono::milliseconds(250);

/// State of the clairvoyant policy while it processes a trace.
class clairvoyant
{
public:
    clairvoyant(scenario const& setup, trace const& workload)
        : setup_(setup), workload_(workload),
          interval_(duration(std::chrono::seconds(1)).count() / setup.loads_per_second),
          uses_(setup.adapters)
    {
        result_.stalls.resize(workload.requests.size());
        for (std::size_t index = 0; index < workload.requests.size(); ++index)
            uses_[workload.requests[index].adapter].push_back(index);
    }

    clairvoyant_result run()
    {
        for (std::size_t index = 0; index < workload_.requests.size(); ++index)
        {
            advance_to(workload_.requests[index].at);
            arrive(index);
            start_loads(workload_.requests[index].at);
        }
        advance_to(workload_.end + std::chrono::hours(1));
        return std::move(result_);
    }

private:
    // Starts and finishes loads up to a time
    void advance_to(duration until)
    {
        while (true)
        {
            auto const finish =
                loading_.empty() ? duration::max() : loading_.begin()->first;
            auto const load_start = waiting_.empty()
                                        ? duration::max()
                                        : std::max(processed_until_, next_load_start());
            if (std::min(finish, load_start) > until)
                break;
            processed_until_ = std::max(processed_until_, std::min(finish, load_start));
            if (finish <= load_start)
                finish_load();
            else if (!start_load(load_start))
                break;
        }
        processed_until_ = std::max(processed_until_, until);
    }

    void start_loads(duration now)
    {
        while (!waiting_.empty() && next_load_start() <= now && start_load(now))
        {
        }
    }

    [[nodiscard]] duration next_load_start() const
    {
        return next_start_;
    }

    void arrive(std::size_t index)
    {
        auto const adapter = workload_.requests[index].adapter;
        current_request_ = index;
        if (resident_.contains(adapter))
        {
            // Update its next use
            by_next_use_.erase({resident_.at(adapter), adapter});
            insert(adapter);
            return;
        }
        auto const is_loading =
            std::any_of(loading_.begin(), loading_.end(),
                        [&](auto const& load) { return load.second == adapter; });
        (is_loading ? awaiting_load_ : waiting_)[adapter].push_back(index);
    }

    bool start_load(duration now)
    {
        drop_expired(now);
        if (waiting_.empty())
            return true;
        auto const full = resident_.size() + loading_.size() >=
                          std::size_t{setup_.engines} * setup_.slots;
        if (full && by_next_use_.empty())
            return false;
        auto const best =
            std::max_element(waiting_.begin(), waiting_.end(),
                             [](auto const& left, auto const& right)
                             { return left.second.size() < right.second.size(); });
        if (full)
        {
            auto const farthest = std::prev(by_next_use_.end());
            resident_.erase(farthest->second);
            by_next_use_.erase(farthest);
        }
        // Two loads may start together after a pause, as with the store
        auto const interval = duration(static_cast<std::int64_t>(interval_));
        next_start_ = std::max(next_start_, now - interval) + interval;
        loading_.emplace(now + load_time, best->first);
        awaiting_load_[best->first] = std::move(best->second);
        waiting_.erase(best);
        if (now >= workload_.measured_from && now <= workload_.end)
            ++result_.loads;
        return true;
    }

    // Removes the waiting requests whose deadline has passed
    void drop_expired(duration now)
    {
        for (auto& [adapter, waiting] : waiting_)
            std::erase_if(waiting,
                          [&](std::size_t index)
                          {
                              auto const& request = workload_.requests[index];
                              auto const is_expired =
                                  request.at + request.time_limit < now;
                              if (is_expired)
                                  result_.stalls[index] = request.time_limit;
                              return is_expired;
                          });
        std::erase_if(waiting_, [](auto const& entry) { return entry.second.empty(); });
    }

    void finish_load()
    {
        auto const [at, adapter] = *loading_.begin();
        loading_.erase(loading_.begin());
        for (auto const index : awaiting_load_[adapter])
            result_.stalls[index] = std::min(at - workload_.requests[index].at,
                                             workload_.requests[index].time_limit);
        awaiting_load_.erase(adapter);
        insert(adapter);
    }

    void insert(std::uint32_t adapter)
    {
        auto const& uses = uses_[adapter];
        auto const next = std::upper_bound(uses.begin(), uses.end(), current_request_);
        auto const use = next == uses.end() ? never : *next;
        resident_[adapter] = use;
        by_next_use_.insert({use, adapter});
    }

    scenario const& setup_;
    trace const& workload_;
    // Nanoseconds between loads
    double interval_;
    // Indices of the requests of each adapter, in ascending order
    std::vector<std::vector<std::size_t>> uses_;
    // Index of the request that arrived last
    std::size_t current_request_ = 0;
    // Resident adapters with the index of the next request for each
    std::map<std::uint32_t, std::size_t> resident_;
    // Resident adapters ordered by their next request
    std::set<std::pair<std::size_t, std::uint32_t>> by_next_use_;
    // Requests whose adapter is neither resident nor loading
    std::map<std::uint32_t, std::vector<std::size_t>> waiting_;
    // Requests whose adapter is loading
    std::map<std::uint32_t, std::vector<std::size_t>> awaiting_load_;
    // Loading adapters by the time at which their load ends
    std::multimap<duration, std::uint32_t> loading_;
    // Earliest time of the next load
    duration next_start_{0};
    // Time up to which loads were processed
    duration processed_until_{0};
    clairvoyant_result result_;
};

} // namespace

clairvoyant_result run_clairvoyant(scenario const& setup, trace const& workload)
{
    return clairvoyant(setup, workload).run();
}

} // namespace marjorampath::bench
