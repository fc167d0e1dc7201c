#pragma once

#include <marjorampath/core/error_kind.hpp>
#include <serving/admin/admin_tokens.hpp>

#include <boost/beast/http/verb.hpp>
#include <boost/json/value.hpp>

#include <functional>
#include <map>
#include <string>
#include <variant>

namespace marjorampath::serving
{

/// What a route is asked.
struct admin_request
{
    /// Who asks.
    admin_principal principal;
    /// Query parameters, decoded.
    std::map<std::string, std::string> query;
};

/// What a route answers: JSON, or why it refuses.
using admin_answer = std::variant<boost::json::value, error_kind>;

/// One route of the administration API.
struct admin_route
{
    /// Method; a route that acts takes `POST`.
    boost::beast::http::verb method = boost::beast::http::verb::get;
    /// Path.
    std::string path;
    /// Least role that may call it.
    admin_role role = admin_role::viewer;
    /// Makes the answer. Called on the control thread.
    std::function<admin_answer(admin_request const&)> handle;
};

} // namespace marjorampath::serving
