#include <serving/engine/load_report.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

namespace marjorampath::serving
{

namespace
{

namespace json = boost::json;

// Sets `number` if the document has the key; returns false if the value is not a number
// or out of range
template <class Number>
bool read_number(json::object const& document, char const* key, Number& number)
{
    auto const* value = document.if_contains(key);
    if (!value)
        return true;
    if (!value->is_number())
        return false;
    boost::system::error_code error;
    auto const read = value->to_number<Number>(error);
    if (error)
        return false;
    number = read;
    return true;
}

} // namespace

std::optional<load_report> read_load_report(std::string_view document,
                                            endpoint_report const& listed)
{
    boost::system::error_code error;
    auto const value =
        json::parse(json::string_view(document.data(), document.size()), error);
    auto const* object = error ? nullptr : value.if_object();
    if (!object)
        return std::nullopt;

    load_report result{.endpoint = listed, .resident_names = {}};
    auto& report = result.endpoint;
    report.reachable = true;
    if (!read_number(*object, "boot", report.boot_number) ||
        !read_number(*object, "slots", report.adapter_slots) ||
        !read_number(*object, "concurrency", report.concurrency))
        return std::nullopt;

    auto const* draining = object->if_contains("draining");
    if (draining && draining->is_bool() && draining->get_bool())
        report.leaving = true;

    report.resident.clear();
    auto const* adapters = object->if_contains("adapters");
    if (!adapters || !adapters->is_array())
        return std::nullopt;
    for (auto const& adapter : adapters->get_array())
    {
        if (!adapter.is_string())
            return std::nullopt;
        auto const& name = adapter.get_string();
        result.resident_names.emplace_back(name.data(), name.size());
        report.resident.push_back(adapter_version_id::of(result.resident_names.back()));
    }
    return result;
}

} // namespace marjorampath::serving
