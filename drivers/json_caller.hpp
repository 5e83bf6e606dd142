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

/// Calls one of the platform's services with JSON bodies.
class json_caller
{
public:
    /// The client must outlive the caller.
    json_caller(net::http_client& client, net::endpoint server, duration limit);

    /// Errors: unavailable, also for status 503; timeout; outcome_unknown when
    /// the answer was lost.
    boost::asio::awaitable<result<net::http_response>>
    call(std::string method, std::string path, std::string body) const;

    /// Like `call`, for a request that only reads: where the answer was lost
    /// the error is timeout, as reading twice does no harm.
    boost::asio::awaitable<result<net::http_response>>
    read(std::string method, std::string path, std::string body) const;

private:
    net::http_client& http;
    net::endpoint target;
    duration call_limit;
};

/// Makes the error of an answer in another form; it repeats a part of it.
error make_format_error(std::string_view what, const std::string& found);

/// Parses the body of an answer with status 200. Error: internal.
result<boost::json::value> parse_body(const net::http_response& response);

/// Runs a reader of JSON and turns its exceptions into an error.
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

/// Reads the list under `field` of an answer, each entry by `read_entry`.
/// Errors: that of the call; internal for an answer of another form.
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
            for (const boost::json::value& line : body.at(field).as_array())
            {
                entries.push_back(read_entry(line));
            }
            return entries;
        },
        response.value().body);
}

} // namespace chicory::drivers

#endif
