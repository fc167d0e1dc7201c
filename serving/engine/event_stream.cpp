#include <serving/engine/event_stream.hpp>

#include <charconv>

namespace marjorampath::serving
{

namespace
{

// Data of the event that ends a stream
constexpr std::string_view final_data = "[DONE]";

std::string_view trimmed(std::string_view text) noexcept
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\r'))
        text.remove_suffix(1);
    return text;
}

// Position after the empty line that ends the first event, or npos if it is incomplete
std::size_t event_end(std::string_view bytes) noexcept
{
    std::size_t line = 0;
    while (true)
    {
        auto const end = bytes.find('\n', line);
        if (end == std::string_view::npos)
            return end;

        // An empty line may end in CR LF
        auto const length = end - line;
        if (length == 0 || (length == 1 && bytes[line] == '\r'))
            return end + 1;
        line = end + 1;
    }
}

// The content of the JSON string that follows a key, still escaped; empty if there is
// none
std::string_view json_string_after(std::string_view data, std::string_view key) noexcept
{
    auto begin = data.find(key);
    if (begin == std::string_view::npos)
        return {};
    begin += key.size();

    // Skip spaces before the string
    while (begin < data.size() && data[begin] == ' ')
        ++begin;
    if (begin >= data.size() || data[begin] != '"')
        return {};
    ++begin;

    // Find the closing quotation mark, which is not escaped
    for (auto end = begin; end < data.size(); ++end)
    {
        if (data[end] == '\\')
            ++end;
        else if (data[end] == '"')
            return data.substr(begin, end - begin);
    }
    return {};
}

} // namespace

struct event_stream::event_fields
{
    // Number of the event; zero if it has none
    std::uint64_t id = 0;
    // Content of the last data line
    std::string_view data;
    // Whether the event reports an error
    bool error = false;
    // Whether it has only comments, which keep the connection open
    bool comment = true;
};

event_stream::event_fields event_stream::read_fields(std::string_view event)
{
    event_fields fields;
    while (!event.empty())
    {
        auto const end = event.find('\n');
        auto const line = event.substr(0, end);
        event.remove_prefix(end == std::string_view::npos ? event.size() : end + 1);
        auto const content = trimmed(line);
        fields.comment = fields.comment && (content.empty() || content.front() == ':');

        if (line.starts_with("data:"))
            fields.data = trimmed(line.substr(5));
        else if (line.starts_with("id:"))
        {
            auto const number = trimmed(line.substr(3));
            std::from_chars(number.data(), number.data() + number.size(), fields.id);
        }
        else if (line.starts_with("event:"))
            fields.error = trimmed(line.substr(6)) == "error";
    }
    return fields;
}

event_stream_state event_stream::push(std::string_view bytes, std::string& output)
{
    // Prepend the incomplete event of the previous call
    std::string buffered;
    if (!partial_.empty())
    {
        buffered = std::move(partial_);
        buffered += bytes;
        bytes = buffered;
        partial_.clear();
    }

    // Consecutive events that pass unchanged are appended as one run
    std::size_t run_begin = 0;
    std::size_t position = 0;
    while (state_ == event_stream_state::open)
    {
        auto const length = event_end(bytes.substr(position));
        if (length == std::string_view::npos)
            break;
        auto const event = bytes.substr(position, length);
        if (!process_event(event, output))
        {
            output += bytes.substr(run_begin, position - run_begin);
            run_begin = position + length;
        }
        else if (id_offset_ != 0)
            run_begin = position + length;
        position += length;
    }
    output += bytes.substr(run_begin, position - run_begin);

    if (state_ == event_stream_state::open)
        partial_.assign(bytes.substr(position));
    if (partial_.size() > options_.max_event_bytes)
        state_ = event_stream_state::broken;
    return state_;
}

bool event_stream::process_event(std::string_view event, std::string& output)
{
    auto const fields = read_fields(event);
    if (fields.error)
    {
        state_ = event_stream_state::broken;
        return false;
    }
    if (fields.data == final_data)
    {
        state_ = event_stream_state::done;
        if (id_offset_ != 0)
            output += event;
        return true;
    }

    if (fields.id == 0 && must_be_numbered_ && !fields.comment)
    {
        state_ = event_stream_state::broken;
        return false;
    }
    if (fields.id != 0)
    {
        must_be_numbered_ = false;

        // Drop duplicate events
        if (fields.id <= last_id_)
            return false;
        if (fields.id != last_id_ + 1)
        {
            state_ = event_stream_state::broken;
            return false;
        }
        last_id_ = fields.id;
    }

    ++delivered_;
    keep_text(fields.data);
    if (id_offset_ != 0)
        append_renumbered(event, fields.id, output);
    return true;
}

void event_stream::append_renumbered(std::string_view event, std::uint64_t id,
                                     std::string& output)
{
    while (!event.empty())
    {
        auto const end = event.find('\n');
        auto const length = end == std::string_view::npos ? event.size() : end + 1;
        if (event.starts_with("id:"))
        {
            output += "id: ";
            output += std::to_string(id_offset_ + id);
            output += '\n';
        }
        else
            output += event.substr(0, length);
        event.remove_prefix(length);
    }
}

void event_stream::keep_text(std::string_view data)
{
    if (!options_.keep_text || !text_complete_)
        return;
    auto text = json_string_after(data, "\"text\":");
    if (text.empty())
        text = json_string_after(data, "\"content\":");
    if (text_.size() + text.size() > options_.max_text_bytes)
    {
        drop_text();
        return;
    }
    text_ += text;
    if (!json_string_after(data, "\"finish_reason\":").empty())
        generation_ended_ = true;
}

void event_stream::drop_text()
{
    // A resumption repeats the request of the present run, which continues this part
    text_complete_ = false;
    text_.resize(text_bytes_before_restart_);
    text_.shrink_to_fit();
}

void event_stream::resume()
{
    partial_.clear();
    state_ = event_stream_state::open;
    must_be_numbered_ = id_offset_ + last_id_ != 0;
}

void event_stream::restart()
{
    resume();
    id_offset_ += last_id_;
    last_id_ = 0;
    events_before_restart_ = delivered_;
    text_bytes_before_restart_ = text_.size();
}

} // namespace marjorampath::serving
