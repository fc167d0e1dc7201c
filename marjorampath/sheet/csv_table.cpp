#include <marjorampath/sheet/csv_table.hpp>

namespace marjorampath
{

std::string quote_csv_field(std::string_view field)
{
    if (field.find_first_of(",\"\r\n") == std::string_view::npos)
        return std::string(field);

    std::string quoted = "\"";
    for (char const character : field)
    {
        if (character == '"')
            quoted += '"';
        quoted += character;
    }
    quoted += '"';
    return quoted;
}

} // namespace marjorampath
