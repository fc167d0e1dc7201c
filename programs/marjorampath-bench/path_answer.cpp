#include <programs/marjorampath-bench/path_answer.hpp>

#include <algorithm>

namespace marjorampath::bench
{

namespace
{

// Finds the next string member with the given key at or after `position`, and moves
// `position` past its value
bool find_next_member(std::string_view body, std::string_view key, std::size_t& position,
                      std::string_view& value)
{
    auto const start = body.find(key, position);
    if (start == std::string_view::npos)
        return false;
    auto const value_start = start + key.size();
    auto const value_end = body.find('"', value_start);
    if (value_end == std::string_view::npos)
        return false;
    value = body.substr(value_start, value_end - value_start);
    position = value_end + 1;
    return true;
}

} // namespace

std::string extract_generated_text(std::string_view body)
{
    std::string text;
    std::size_t position = 0;
    std::string_view value;
    while (find_next_member(body, "\"text\":\"", position, value))
        text += value;
    return text;
}

answer_verdict check_answer(path_answer& answer, std::string_view expected)
{
    if (answer.status == 0)
        return answer_verdict::lost;

    // A failed stream ends with an error event that states kind and outcome
    std::string_view const body = answer.body;
    auto const error_event = body.find("event: error");
    if (answer.streamed && error_event != std::string_view::npos)
    {
        std::size_t position = error_event;
        std::string_view value;
        if (find_next_member(body, "\"kind\":\"", position, value))
            answer.kind = value;
        if (find_next_member(body, "\"outcome\":\"", position, value))
            answer.outcome = value;
    }

    auto const text = extract_generated_text(body);
    if (text != expected.substr(0, std::min(text.size(), expected.size())))
        return answer_verdict::wrong;
    if (!answer.kind.empty() && !answer.outcome.empty())
        return answer_verdict::error;

    bool const has_end_marker =
        !answer.streamed || body.find("data: [DONE]") != body.npos;
    if (answer.status != 200 || !answer.ended || !has_end_marker)
        return answer_verdict::lost;
    return text.size() == expected.size() ? answer_verdict::whole
                                          : answer_verdict::truncated;
}

} // namespace marjorampath::bench
