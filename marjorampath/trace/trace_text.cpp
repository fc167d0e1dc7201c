#include <marjorampath/trace/trace_text.hpp>

#include <boost/json.hpp>

#include <optional>
#include <utility>

namespace marjorampath
{

namespace
{

namespace json = boost::json;

// Reads the members of one line and keeps the first problem.
class line_reader
{
public:
    explicit line_reader(json::object const& line) : line_(line) {}

    // Reads a string member, if present
    void read(char const* name, std::string& target)
    {
        auto const* value = find_member(name);
        if (!value)
            return;
        if (!value->is_string())
            return reject(name, "is not a string");
        target.assign(value->get_string().data(), value->get_string().size());
    }

    // Reads a non-negative integer member, if present
    template <class Number>
    void read_number(char const* name, Number& target)
    {
        auto const* value = find_member(name);
        if (!value)
            return;
        if (!value->is_int64() || value->get_int64() < 0 ||
            !std::in_range<Number>(value->get_int64()))
            return reject(name, "is not a non-negative integer in range");
        target = static_cast<Number>(value->get_int64());
    }

    // Reads a Boolean member, if present
    void read(char const* name, bool& target)
    {
        auto const* value = find_member(name);
        if (!value)
            return;
        if (!value->is_bool())
            return reject(name, "is not true or false");
        target = value->get_bool();
    }

    // Records a problem with a member, unless there is an earlier one
    void reject(char const* name, char const* text)
    {
        if (!problem_)
            problem_ = trace_problem{.line = 0, .member = name, .text = text};
    }

    // Returns the first problem. Members that were never read are one
    std::optional<trace_problem> finish()
    {
        if (!problem_ && read_count_ != line_.size())
            problem_ = trace_problem{.line = 0, .member = {}, .text = "unknown member"};
        return std::move(problem_);
    }

private:
    json::value const* find_member(char const* name)
    {
        auto const* value = line_.if_contains(name);
        read_count_ += value ? 1 : 0;
        return value;
    }

    json::object const& line_;
    // Number of members that were read
    std::size_t read_count_ = 0;
    // First problem
    std::optional<trace_problem> problem_;
};

std::optional<trace_problem> read_line(std::string_view text, trace_request& request)
{
    boost::system::error_code error;
    auto const value = json::parse({text.data(), text.size()}, error);
    if (error || !value.is_object())
        return trace_problem{.line = 0, .member = {}, .text = "is not a JSON object"};

    line_reader reader(value.get_object());
    reader.read_number("at_ms", request.at_ms);
    reader.read("caller", request.caller);
    reader.read("service", request.service);
    reader.read("adapter", request.adapter);
    reader.read("operation", request.operation);
    reader.read("body", request.body);
    reader.read_number("max_tokens", request.max_tokens);
    reader.read("stream", request.stream);
    reader.read_number("deadline_ms", request.deadline_ms);
    reader.read("key", request.key);

    std::string expect = "whole";
    reader.read("expect", expect);
    if (auto const parsed = parse_expected_outcome(expect))
        request.expect = *parsed;
    else
        reader.reject("expect", "is not whole, not-run or any");

    if (request.service.empty())
        reader.reject("service", "is missing");
    if (!request.is_model_request() && request.operation.find(" /") == std::string::npos)
        reader.reject("operation", "is not completions, chat or METHOD /path");
    return reader.finish();
}

} // namespace

std::variant<std::vector<trace_request>, trace_problem> read_trace(std::string_view text)
{
    std::vector<trace_request> trace;
    for (std::size_t line = 1; !text.empty(); ++line)
    {
        auto const end = std::min(text.find('\n'), text.size());
        auto const each = text.substr(0, end);
        text.remove_prefix(std::min(end + 1, text.size()));
        if (each.empty())
            continue;

        trace_request request;
        auto problem = read_line(each, request);
        if (!problem && !trace.empty() && request.at_ms < trace.back().at_ms)
            problem = {.line = 0,
                       .member = "at_ms",
                       .text = "is earlier than in the line before"};
        if (problem)
        {
            problem->line = line;
            return std::move(*problem);
        }
        trace.push_back(std::move(request));
    }
    return trace;
}

std::string write_trace_line(trace_request const& request)
{
    json::object line{{"at_ms", request.at_ms},
                      {"caller", request.caller},
                      {"service", request.service},
                      {"adapter", request.adapter},
                      {"operation", request.operation},
                      {"body", request.body},
                      {"max_tokens", request.max_tokens},
                      {"stream", request.stream},
                      {"deadline_ms", request.deadline_ms},
                      {"key", request.key},
                      {"expect", to_string(request.expect)}};
    return json::serialize(line);
}

} // namespace marjorampath
