#include <marjorampath/trace/promise_judge.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

namespace marjorampath
{

namespace
{

constexpr unsigned first_error_status = 400;

bool is_whole(replay_attempt const& attempt)
{
    return attempt.complete && attempt.status > 0 && attempt.status < first_error_status;
}

// Judges one request after another
class judge
{
public:
    explicit judge(promise_checker_inputs const& inputs) : inputs_(inputs)
    {
        for (auto const& record : inputs_.records)
        {
            if (!record.request_id.empty())
                ran_.insert(record.request_id);
            if (!record.key.empty())
                ++runs_of_key_[record.key];
        }
    }

    std::vector<broken_promise> judge_all()
    {
        for (auto const& result : inputs_.results)
            judge_result(result);
        judge_records();
        return std::move(broken_);
    }

private:
    void judge_result(replay_result const& result)
    {
        auto const& request = inputs_.trace[result.index];
        line_ = result.index + 1;

        // Each sending is judged by itself
        for (auto const& attempt : result.attempts)
            judge_attempt(request, attempt);

        // The last one is what the caller is left with
        if (result.attempts.empty() || result.attempts.back().status == 0)
            return add(promise::answered, "no answer");
        judge_expectation(request, result.attempts.back());
    }

    void judge_attempt(trace_request const& request, replay_attempt const& attempt)
    {
        if (attempt.outcome == "not-run" && ran_.contains(attempt.request_id))
            add(promise::not_run_true, fmt::format("request {} ran", attempt.request_id));
        if (is_whole(attempt) && request.is_model_request())
            judge_text(request, attempt);
    }

    void judge_text(trace_request const& request, replay_attempt const& attempt)
    {
        auto const* adapter = inputs_.in_force.find_adapter(
            service_id::of(request.service), request.adapter);
        if (!adapter)
            return add(promise::right_adapter, "answered an adapter without assignment");

        auto const model = adapter->qualified_name();
        if (!attempt.text.starts_with(model))
            add(promise::right_adapter,
                fmt::format("expected {}, got `{:.40}`", model, attempt.text));
        else if (attempt.text != inputs_.text(model, request.body, request.max_tokens))
            add(promise::whole_answer,
                fmt::format("{} bytes differ from the whole answer",
                            attempt.text.size()));
    }

    void judge_expectation(trace_request const& request, replay_attempt const& last)
    {
        bool const whole = is_whole(last);
        if (request.expect == expected_outcome::whole && !whole)
            add(promise::stated_outcome,
                fmt::format("expected whole, got {} {} {}", last.status, last.error_kind,
                            last.outcome));
        if (request.expect == expected_outcome::not_run && last.outcome != "not-run")
            add(promise::stated_outcome,
                fmt::format("expected not-run, got {} {}", last.status, last.outcome));
    }

    void judge_records()
    {
        line_ = 0;
        for (auto const& [key, runs] : runs_of_key_)
            if (runs > 1)
                add(promise::at_most_once, fmt::format("key {} ran {} times", key, runs));

        for (auto const& record : inputs_.records)
            if (!record.violation.empty())
                add(promise::no_serving_eviction, record.violation);
    }

    void add(promise which, std::string text)
    {
        broken_.push_back({which, line_, std::move(text)});
    }

    // What is judged
    promise_checker_inputs const& inputs_;
    // Requests that an endpoint ran
    std::unordered_set<std::string> ran_;
    // How often each key ran
    std::unordered_map<std::string, std::size_t> runs_of_key_;
    // Line of the request that is being judged
    std::size_t line_ = 0;
    // What was found
    std::vector<broken_promise> broken_;
};

} // namespace

std::vector<broken_promise> check_replay(promise_checker_inputs const& inputs)
{
    return judge(inputs).judge_all();
}

} // namespace marjorampath
