#ifndef CHICORY_TESTS_STANDINS_JSON_RESPONSE_HPP
#define CHICORY_TESTS_STANDINS_JSON_RESPONSE_HPP

#include "net/net.hpp"

#include <boost/json.hpp>

#include <string>

namespace chicory::standin
{

/// Returns a response with a JSON body.
inline net::http_response
make_json_response(int status, const boost::json::value& body)
{
    net::http_response response;
    response.status = status;
    response.headers["content-type"] = "application/json";
    response.body = boost::json::serialize(body);
    return response;
}

/// Returns a response without a body.
inline net::http_response make_empty_response(int status)
{
    net::http_response response;
    response.status = status;
    return response;
}

/// Returns a JSON response that describes an error.
inline net::http_response
make_error_response(int status, const std::string& text)
{
    return make_json_response(status, boost::json::object{{"error", text}});
}

} // namespace chicory::standin

#endif
