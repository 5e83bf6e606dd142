#ifndef CHICORY_TESTS_STANDINS_ENGINE_STANDIN_HPP
#define CHICORY_TESTS_STANDINS_ENGINE_STANDIN_HPP

#include "net/net.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace chicory::standins
{

/// One request that reached the engine.
struct engine_arrival
{
    std::string attempt;
    std::string target;
    net::http_headers headers;
    std::string body;
    /// Number of the last event that the caller has; the stream continues after
    /// it.
    std::int64_t after = 0;
    /// True if the caller disconnected before the response was complete.
    bool cut = false;
    /// True after the end of the stream was sent.
    bool complete = false;
};

/// Stands in for a runner of the users' platform. It responds with a stream of
/// numbered events.
class engine_standin
{
public:
    engine_standin(boost::asio::io_context& io, std::string name);

    /// Listens on a free port of the loopback address and returns it.
    std::uint16_t listen();

    /// Returns the JSON entry with which the runner registers itself in the
    /// store.
    std::string entry(const std::string& state) const;

    const std::string& id() const;

    /// Service that the entry names.
    std::string service = "chat";
    std::vector<engine_arrival> arrivals;
    std::int64_t events = 4;
    /// Bytes that are added to the text of each event.
    std::size_t event_padding = 0;
    std::chrono::milliseconds event_time{1};
    /// Delay before the head of a stream.
    std::chrono::milliseconds head_time{0};
    /// Breaks the stream once, within the event after this one; zero disables
    /// this.
    std::int64_t break_after_event = 0;
    /// A request whose prompt has this part, but not as its last one, ends
    /// after the head of its response, and so does every other request in
    /// progress: the runner crashes, and accepts no connections for a moment.
    /// Empty disables this.
    std::string deadly_part;
    /// Number of such crashes.
    std::size_t crashes = 0;
    /// Number of further streams whose connection the runner closes after the
    /// head, while it continues to serve.
    std::size_t closed_streams = 0;
    /// If true, the next stream sends bytes that never complete an event until
    /// the caller disconnects.
    bool sends_stalled_stream = false;
    /// HTTP status of the response that replaces the stream; zero sends the
    /// stream.
    int status = 0;
    /// If true, a response with `status` states that the request was not
    /// executed.
    bool states_not_run = false;
    /// Tokens that the memory holds. A request with more of them in its header
    /// `X-Token-Counts` is refused as by a full runner; zero disables this.
    std::int64_t token_capacity = 0;
    /// Version of the weights. A request that names another one in its header
    /// `X-Expect-Version` is refused with status 421.
    std::int64_t weights = 1;
    /// Number of requests that were refused for one of these two reasons.
    std::size_t unsuitable = 0;
    /// A request with the header `X-Odd` is run and gets this status without a
    /// stream; zero treats it like the others.
    int odd_status = 0;
    /// Number of such requests.
    std::size_t odd_runs = 0;
    /// If true, every response states that the runner is leaving.
    bool reports_leaving = false;
    /// Start time of the process that the entry reports, in milliseconds.
    std::int64_t started_ms = 1;

private:
    boost::asio::awaitable<void> handle_request(net::http_exchange& exchange);
    /// Returns the status with which a request is refused that this runner
    /// cannot run; zero if it can.
    int find_unsuitable_status(const net::http_headers& headers) const;
    boost::asio::awaitable<void>
    stream(net::http_exchange& exchange, std::size_t index);
    void restart_later();

    boost::asio::io_context& context;
    std::string instance;
    net::http_server server;
};

} // namespace chicory::standins

#endif
