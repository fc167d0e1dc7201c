#include <programs/marjorampath-standin/sequence_batch.hpp>

#include <algorithm>

namespace marjorampath::standin
{

namespace
{

bool has_ended(std::shared_ptr<sequence> const& each)
{
    return each->end != sequence_end::none;
}

} // namespace

sequence_batch::sequence_batch(boost::asio::io_context& context, options values)
    : options_(values), timer_(context)
{
}

void sequence_batch::add(std::shared_ptr<sequence> const& added)
{
    // Insert behind all sequences of the same or a higher priority
    auto const position = std::upper_bound(waiting_.begin(), waiting_.end(), added,
                                           [](auto const& left, auto const& right)
                                           { return left->priority > right->priority; });
    waiting_.insert(position, added);
    admit();
}

void sequence_batch::end(sequence& target, sequence_end reason)
{
    if (target.end != sequence_end::none)
        return;
    target.end = reason;
    target.changed.cancel();
    remove_ended();
}

std::size_t sequence_batch::end_all(std::string_view model, sequence_end reason)
{
    std::size_t count = 0;
    auto const end_matching = [&](std::shared_ptr<sequence> const& each)
    {
        if (!model.empty() && each->text.model != model)
            return;
        ++count;
        each->end = reason;
        each->changed.cancel();
    };
    std::for_each(running_.begin(), running_.end(), end_matching);
    std::for_each(waiting_.begin(), waiting_.end(), end_matching);
    remove_ended();
    return count;
}

std::shared_ptr<sequence> sequence_batch::find(std::string_view request_id) const
{
    auto const matches = [&](auto const& each) { return each->request_id == request_id; };
    auto const running = std::find_if(running_.begin(), running_.end(), matches);
    if (running != running_.end())
        return *running;
    auto const waiting = std::find_if(waiting_.begin(), waiting_.end(), matches);
    return waiting != waiting_.end() ? *waiting : nullptr;
}

void sequence_batch::remove_ended()
{
    std::erase_if(running_, has_ended);
    std::erase_if(waiting_, has_ended);
    admit();
}

void sequence_batch::admit()
{
    auto const now = std::chrono::steady_clock::now();
    while (!waiting_.empty() && running_.size() < options_.concurrency)
    {
        auto next = std::move(waiting_.front());
        waiting_.pop_front();
        next->started = true;
        next->ready_at = now + options_.prefill_time;
        running_.push_back(std::move(next));
    }
    schedule_step();
}

void sequence_batch::schedule_step()
{
    if (step_scheduled_ || running_.empty())
        return;
    step_scheduled_ = true;

    // Without a token time, steps only check every millisecond whether a prefill is over
    auto const step_time =
        options_.token_time.count() > 0
            ? options_.token_time
            : std::min(options_.prefill_time, std::chrono::milliseconds(1));
    timer_.expires_after(step_time);
    timer_.async_wait(
        [this](boost::system::error_code error)
        {
            step_scheduled_ = false;
            if (!error)
                step();
        });
}

void sequence_batch::step()
{
    auto const now = std::chrono::steady_clock::now();
    bool any_ended = false;
    for (auto const& each : running_)
    {
        if (now < each->ready_at)
            continue;
        each->produced =
            options_.token_time.count() > 0 ? each->produced + 1 : each->total;
        if (each->produced >= each->total)
        {
            each->end = sequence_end::finished;
            any_ended = true;
        }
        each->changed.cancel();
    }
    if (any_ended)
        remove_ended();
    schedule_step();
}

} // namespace marjorampath::standin
