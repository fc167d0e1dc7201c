#include <serving/telemetry/log.hpp>

#include <algorithm>

namespace marjorampath::serving
{

namespace
{

bool is_safe_unquoted(char character)
{
    return character > ' ' && character != '"' && character != '\\' && character != '=' &&
           character != 0x7f;
}

} // namespace

void append_log_text(fmt::memory_buffer& line, std::string_view text)
{
    if (!text.empty() && std::ranges::all_of(text, is_safe_unquoted))
    {
        line.append(text);
        return;
    }
    line.push_back('"');
    for (char const character : text)
    {
        if (character == '"' || character == '\\')
            line.push_back('\\');

        // An unescaped newline would let the text forge a log line
        if (static_cast<unsigned char>(character) < ' ' || character == 0x7f)
        {
            fmt::format_to(std::back_inserter(line), "\\x{:02x}",
                           static_cast<unsigned char>(character));
            continue;
        }
        line.push_back(character);
    }
    line.push_back('"');
}

} // namespace marjorampath::serving
