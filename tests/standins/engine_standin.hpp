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
    /// Event after which it was asked to go on.
    std::int64_t after = 0;
    /// True when the caller closed before the answer was whole.
    bool cut = false;
};

/// A runner of the users' platform that answers with a stream of numbered
/// events.
class engine_standin
{
public:
    engine_standin(boost::asio::io_context& io, std::string name);

    /// Listens on a free port of the loopback address and returns it.
    std::uint16_t listen();

    /// Returns the entry by which the runner registers itself.
    std::string entry(const std::string& state) const;

    const std::string& id() const;

    std::vector<engine_arrival> arrivals;
    std::int64_t events = 4;
    std::chrono::milliseconds event_time{1};
    /// Breaks the stream within the event after this one, once; zero: never.
    std::int64_t break_after_event = 0;
    /// Sends bytes that never make an event, until its caller closes, once.
    bool sends_stalled_stream = false;
    /// Status to answer with in place of a stream; zero for a stream.
    int status = 0;
    /// True to state that a refused request was not run.
    bool states_not_run = false;
    /// True to say in every answer that the runner is leaving.
    bool reports_leaving = false;
    /// Time of birth that the entry and the runner tell.
    std::int64_t started_ms = 1;

private:
    boost::asio::awaitable<void> answer(net::http_exchange& exchange);
    boost::asio::awaitable<void>
    stream(net::http_exchange& exchange, std::size_t index);

    boost::asio::io_context& context;
    std::string instance;
    net::http_server server;
};

} // namespace chicory::standins

#endif
