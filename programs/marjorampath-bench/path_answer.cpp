#include <programs/marjorampath-bench/path_answer.hpp>

#include <algorithm>

namespace marjorampath::bench
{

namespace
{

// The string member behind a key, searched from `from` on; moves `from` behind it
bool next_member(std::string_view body, std::string_view key, std::size_t& from,
                 std::string_view& value)
{
    auto const start = body.find(key, from);
    if (start == std::string_view::npos)
        return false;
    auto const first = start + key.size();
    auto const last = body.find('"', first);
    if (last == std::string_view::npos)
        return false;
    value = body.substr(first, last - first);
    from = last + 1;
    return true;
}

} // namespace

std::string generated_text_of(std::string_view body)
{
    std::string text;
    std::size_t from = 0;
    std::string_view value;
    while (next_member(body, "\"text\":\"", from, value))
        text += value;
    return text;
}

answer_verdict judge(path_answer& answer, std::string_view expected)
{
    if (answer.status == 0)
        return answer_verdict::lost;

    // A stream that failed ends in an error event, which states kind and outcome
    std::string_view const body = answer.body;
    auto const error_event = body.find("event: error");
    if (answer.streamed && error_event != std::string_view::npos)
    {
        std::size_t from = error_event;
        std::string_view value;
        if (next_member(body, "\"kind\":\"", from, value))
            answer.kind = value;
        if (next_member(body, "\"outcome\":\"", from, value))
            answer.outcome = value;
    }

    auto const text = generated_text_of(body);
    if (text != expected.substr(0, std::min(text.size(), expected.size())))
        return answer_verdict::wrong;
    if (!answer.kind.empty() && !answer.outcome.empty())
        return answer_verdict::error;

    bool const done = !answer.streamed || body.find("data: [DONE]") != body.npos;
    if (answer.status != 200 || !answer.ended || !done)
        return answer_verdict::lost;
    return text.size() == expected.size() ? answer_verdict::whole
                                          : answer_verdict::truncated;
}

} // namespace marjorampath::bench
