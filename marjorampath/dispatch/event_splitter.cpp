#include <marjorampath/dispatch/event_splitter.hpp>

#include <algorithm>
#include <charconv>

namespace marjorampath
{

namespace
{

constexpr std::string_view event_end = "\n\n";
constexpr std::string_view id_field = "id:";

// Returns the identifier of an event, or zero if it has none
std::uint64_t id_of(std::string_view event)
{
    for (std::size_t begin = 0; begin < event.size();)
    {
        auto const end = std::min(event.find('\n', begin), event.size());
        auto line = event.substr(begin, end - begin);
        begin = end + 1;
        if (!line.starts_with(id_field))
            continue;
        line.remove_prefix(id_field.size());
        while (line.starts_with(' '))
            line.remove_prefix(1);
        std::uint64_t id = 0;
        auto const [stop, error] =
            std::from_chars(line.data(), line.data() + line.size(), id);
        return error == std::errc{} ? id : 0;
    }
    return 0;
}

// Whether an event has only comments, which keep the connection open
bool is_comment(std::string_view event)
{
    while (!event.empty())
    {
        auto const end = std::min(event.find('\n'), event.size() - 1);
        if (end != 0 && event.front() != ':')
            return false;
        event.remove_prefix(end + 1);
    }
    return true;
}

} // namespace

bool event_splitter::push(std::string_view bytes, std::string& output)
{
    partial_ += bytes;
    std::size_t begin = 0;
    for (auto end = partial_.find(event_end); end != std::string::npos;
         end = partial_.find(event_end, begin))
    {
        auto const next = end + event_end.size();
        if (!emit(std::string_view(partial_).substr(begin, next - begin), output))
            return false;
        begin = next;
    }
    partial_.erase(0, begin);
    return partial_.size() <= options_.max_event_bytes;
}

bool event_splitter::emit(std::string_view event, std::string& output)
{
    auto const id = id_of(event);
    if (id == 0 && must_be_numbered_ && !is_comment(event))
        return false;
    if (id != 0)
        must_be_numbered_ = false;
    if (id != 0 && id <= last_id_)
        return true;
    if (id != 0)
        last_id_ = id;
    ++event_count_;
    output += event;
    return true;
}

} // namespace marjorampath
