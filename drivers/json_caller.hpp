#ifndef CHICORY_DRIVERS_JSON_CALLER_HPP
#define CHICORY_DRIVERS_JSON_CALLER_HPP

#include "core/core.hpp"
#include "net/net.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/json.hpp>

#include <exception>
#include <string>
#include <string_view>
#include <vector>

namespace chicory::drivers
{

/// HTTP client of one of the platform's services, with JSON bodies.
class json_caller
{
public:
    /// The client must outlive the caller.
    json_caller(net::http_client& client, net::endpoint server, duration limit);

    /// Sends a request and returns the response. Errors: unavailable when the
    /// request was certainly not sent, and for status 503; outcome_unknown when
    /// the response was lost.
    boost::asio::awaitable<result<net::http_response>>
    call(std::string method, std::string path, std::string body) const;

    /// Sends a request that only reads. Same as `call`, except that the error
    /// is timeout when the response was lost, as the read can be repeated.
    boost::asio::awaitable<result<net::http_response>>
    read(std::string method, std::string path, std::string body) const;

private:
    net::http_client& http;
    net::endpoint target;
    duration call_limit;
};

/// Makes the error of a response that is not of the expected form; it quotes
/// the start of the response.
error make_format_error(std::string_view what, const std::string& found);

/// Parses the body of a response with status 200. Error: internal for another
/// status or invalid JSON.
result<boost::json::value> parse_body(const net::http_response& response);

/// Calls a function that reads JSON and converts its exceptions to an error.
/// `body` is the text that the error quotes.
template <class Reader>
auto read_safely(Reader reader, const std::string& body)
    -> result<decltype(reader())>
{
    try
    {
        return reader();
    }
    catch (const std::exception&)
    {
        return make_format_error("platform answer", body);
    }
}

/// Reads the list in the field `field` of a response, each entry with
/// `read_entry`. Errors: that of the call; internal for a response that is not
/// of the expected form.
template <class Reader>
auto read_list(
    const result<net::http_response>& response,
    std::string_view field,
    Reader read_entry)
    -> result<std::vector<decltype(read_entry(boost::json::value()))>>
{
    if (!response)
    {
        return response.error();
    }
    BOOST_OUTCOME_TRY(
        const boost::json::value body, parse_body(response.value()));
    return read_safely(
        [&]()
        {
            std::vector<decltype(read_entry(boost::json::value()))> entries;
            for (const boost::json::value& element : body.at(field).as_array())
            {
                entries.push_back(read_entry(element));
            }
            return entries;
        },
        response.value().body);
}

} // namespace chicory::drivers

#endif
