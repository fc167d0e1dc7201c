#pragma once

/// Headers that almost every source file of the serving library includes.

#include <marjorampath/precompiled.hpp>

#include <boost/asio.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <fmt/format.h>
