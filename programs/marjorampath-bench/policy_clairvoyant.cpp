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

constexpr auto never = std::numeric_limits<std::size_t>::max();
constexpr duration load_time = std::chrono::milliseconds(250);

/// The state of the reference while it goes through a trace.
class clairvoyant
{
public:
    clairvoyant(scenario const& chosen, trace const& made)
        : chosen_(chosen), made_(made),
          interval_(duration(std::chrono::seconds(1)).count() / chosen.loads_per_second),
          uses_(chosen.adapters)
    {
        result_.stalls.resize(made.requests.size());
        for (std::size_t index = 0; index < made.requests.size(); ++index)
            uses_[made.requests[index].adapter].push_back(index);
    }

    clairvoyant_result run()
    {
        for (std::size_t index = 0; index < made_.requests.size(); ++index)
        {
            settle(made_.requests[index].at);
            arrive(index);
            start_loads(made_.requests[index].at);
        }
        settle(made_.end + std::chrono::hours(1));
        return std::move(result_);
    }

private:
    // Handles permits and finished loads up to a time
    void settle(duration until)
    {
        while (true)
        {
            auto const finish =
                loading_.empty() ? duration::max() : loading_.begin()->first;
            auto const permit =
                waiting_.empty() ? duration::max() : std::max(last_, next_permit());
            if (std::min(finish, permit) > until)
                break;
            last_ = std::max(last_, std::min(finish, permit));
            if (finish <= permit)
                finish_load();
            else if (!start_load(permit))
                break;
        }
        last_ = std::max(last_, until);
    }

    void start_loads(duration now)
    {
        while (!waiting_.empty() && next_permit() <= now && start_load(now))
        {
        }
    }

    [[nodiscard]] duration next_permit() const
    {
        return next_start_;
    }

    void arrive(std::size_t index)
    {
        auto const adapter = made_.requests[index].adapter;
        position_ = index;
        if (resident_.contains(adapter))
        {
            // Its next use has moved on
            by_next_use_.erase({resident_.at(adapter), adapter});
            insert(adapter);
            return;
        }
        auto const loads =
            std::any_of(loading_.begin(), loading_.end(),
                        [&](auto const& load) { return load.second == adapter; });
        (loads ? joining_ : waiting_)[adapter].push_back(index);
    }

    bool start_load(duration now)
    {
        drop_late(now);
        if (waiting_.empty())
            return true;
        auto const full = resident_.size() + loading_.size() >=
                          std::size_t{chosen_.engines} * chosen_.slots;
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
        joining_[best->first] = std::move(best->second);
        waiting_.erase(best);
        if (now >= made_.measured_from && now <= made_.end)
            ++result_.loads;
        return true;
    }

    // Gives up the requests whose time is over
    void drop_late(duration now)
    {
        for (auto& [adapter, waiting] : waiting_)
            std::erase_if(waiting,
                          [&](std::size_t index)
                          {
                              auto const& request = made_.requests[index];
                              auto const late = request.at + request.time_limit < now;
                              if (late)
                                  result_.stalls[index] = request.time_limit;
                              return late;
                          });
        std::erase_if(waiting_, [](auto const& entry) { return entry.second.empty(); });
    }

    void finish_load()
    {
        auto const [at, adapter] = *loading_.begin();
        loading_.erase(loading_.begin());
        for (auto const index : joining_[adapter])
            result_.stalls[index] =
                std::min(at - made_.requests[index].at, made_.requests[index].time_limit);
        joining_.erase(adapter);
        insert(adapter);
    }

    void insert(std::uint32_t adapter)
    {
        auto const& uses = uses_[adapter];
        auto const next = std::upper_bound(uses.begin(), uses.end(), position_);
        auto const use = next == uses.end() ? never : *next;
        resident_[adapter] = use;
        by_next_use_.insert({use, adapter});
    }

    // Platform and trace
    scenario const& chosen_;
    trace const& made_;
    // Nanoseconds between loads
    double interval_;
    // Requests of each adapter
    std::vector<std::vector<std::size_t>> uses_;
    // Latest request that arrived
    std::size_t position_ = 0;
    // Resident adapters with the request that asks for each next
    std::map<std::uint32_t, std::size_t> resident_;
    // The same, by next request
    std::set<std::pair<std::size_t, std::uint32_t>> by_next_use_;
    // Requests that wait for adapters that are not loading
    std::map<std::uint32_t, std::vector<std::size_t>> waiting_;
    // Requests that wait for adapters that are loading
    std::map<std::uint32_t, std::vector<std::size_t>> joining_;
    // Loads in transit by the time of their end
    std::multimap<duration, std::uint32_t> loading_;
    // Earliest time of the next load
    duration next_start_{0};
    // Time that was reached
    duration last_{0};
    // What is returned
    clairvoyant_result result_;
};

} // namespace

clairvoyant_result run_clairvoyant(scenario const& chosen, trace const& made)
{
    return clairvoyant(chosen, made).run();
}

} // namespace marjorampath::bench
