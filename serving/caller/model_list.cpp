#include <serving/caller/model_list.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace marjorampath::serving
{

namespace
{

namespace http = boost::beast::http;
namespace json = boost::json;

} // namespace

caller_answer make_model_list(routing_view const& view, std::string_view service)
{
    if (!view.sheet_in_force)
        return make_error_reply({.kind = error_kind::no_sheet, .message = {}});
    auto const* contract = view.sheet_in_force->find_service(service);
    if (!contract || contract->kind != service_kind::model)
        return make_error_reply({.kind = error_kind::unknown_service, .message = {}});

    json::array models;
    for (auto const& assignment : view.sheet_in_force->tables().adapters)
        if (assignment.service == contract->id)
            models.push_back(json::object{{"id", assignment.adapter_name},
                                          {"object", "model"},
                                          {"owned_by", contract->team_name},
                                          {"version", assignment.version}});

    json::object const document{{"object", "list"}, {"data", std::move(models)}};
    caller_answer reply(http::status::ok, 11);
    reply.set(http::field::content_type, "application/json");
    reply.body() = json::serialize(document);
    return reply;
}

} // namespace marjorampath::serving
