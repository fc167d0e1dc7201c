#include <marjorampath/key/key_memory.hpp>

#include <algorithm>
#include <array>

namespace marjorampath
{

namespace
{

// How much a state tells: running, answered, unknown, not_run in the enumerators' order
constexpr std::array<int, 4> knowledge = {0, 3, 1, 2};

int knowledge_of(key_state state) noexcept
{
    return knowledge[static_cast<std::size_t>(state)];
}

bool replaces(key_record const& record, key_record const& known) noexcept
{
    if (record.attempt != known.attempt)
        return record.attempt > known.attempt;
    return knowledge_of(record.state) > knowledge_of(known.state);
}

} // namespace

key_memory::key_memory(key_options options) : options_(options) {}

key_record const* key_memory::find(time_point now, resource_id shard, key_id key) const
{
    auto const found = entries_.find(key);
    if (found == entries_.end() || found->second.shard != shard)
        return nullptr;
    if (now - found->second.first_used >= options_.lifetime)
        return nullptr;
    return &found->second.record;
}

bool key_memory::merge(time_point now, resource_id shard, key_record record)
{
    // An answer beyond the bound is forgotten: the key then reads as unknown
    auto const found = entries_.find(record.key);
    auto const expired =
        found != entries_.end() && now - found->second.first_used >= options_.lifetime;
    auto const known_bytes =
        found != entries_.end() ? found->second.record.answer.size() : 0;
    if (answer_bytes_ - known_bytes + record.answer.size() > options_.max_answer_bytes)
    {
        record.answer.clear();
        record.state = key_state::unknown;
    }

    if (found == entries_.end())
    {
        if (entries_.size() >= options_.max_records)
            return false;
        answer_bytes_ += record.answer.size();
        order_.push_back(record.key);
        auto const key = record.key;
        auto const first_used = now - record.age;
        entries_.emplace(key, entry{shard, std::move(record), first_used});
        return true;
    }

    auto& known = found->second;
    if (!expired && !replaces(record, known.record))
        return true;
    answer_bytes_ = answer_bytes_ - known_bytes + record.answer.size();
    known.first_used =
        expired ? now - record.age : std::min(known.first_used, now - record.age);
    known.shard = shard;
    known.record = std::move(record);
    return true;
}

std::vector<key_record> key_memory::records_of(time_point now, resource_id shard) const
{
    std::vector<key_record> records;
    for (auto const& [key, known] : entries_)
    {
        if (known.shard != shard || now - known.first_used >= options_.lifetime)
            continue;
        records.push_back(known.record);
        records.back().age = now - known.first_used;
    }
    std::sort(records.begin(), records.end(),
              [](auto const& left, auto const& right) { return left.key < right.key; });
    return records;
}

void key_memory::forget_old(time_point now)
{
    // A key that became known late may be older than its place tells; it waits there
    while (!order_.empty())
    {
        auto const found = entries_.find(order_.front());
        if (found != entries_.end())
        {
            if (now - found->second.first_used < options_.lifetime)
                return;
            answer_bytes_ -= found->second.record.answer.size();
            entries_.erase(found);
        }
        order_.pop_front();
    }
}

} // namespace marjorampath
