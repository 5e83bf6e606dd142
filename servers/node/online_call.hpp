#ifndef CHICORY_SERVERS_NODE_ONLINE_CALL_HPP
#define CHICORY_SERVERS_NODE_ONLINE_CALL_HPP

#include "servers/node/run_services.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>
#include <vector>

namespace chicory::node
{

/// One request of a caller on its way: gets a slot, sends the request to the
/// runner, and passes the answer on as it comes. What may have run is sent
/// again only where the route allows that.
class online_call : public std::enable_shared_from_this<online_call>
{
public:
    /// The configuration holds for the whole call; `route` is one of its
    /// routes.
    online_call(
        boost::asio::io_context& io,
        run_services shared_services,
        std::shared_ptr<const serving::serving_configuration> in_force,
        const serving::serving_route& its_route,
        net::http_exchange& caller,
        std::string whole_body,
        time_point received);

    /// Answers the caller.
    boost::asio::awaitable<void> run();

private:
    enum class step
    {
        /// Another runner may be tried.
        again,
        done,
    };

    void start_timer();
    void on_caller_gone();
    void on_time_over();
    void close_run();
    bool is_over() const;
    slot_requirements make_slot_requirements() const;
    net::http_request make_request(const std::string& runner) const;
    boost::asio::awaitable<step> attempt();
    boost::asio::awaitable<step>
    take_failure(const std::string& runner, const runner_outcome& outcome);
    boost::asio::awaitable<step> pass_on(const slot_result& slot);
    boost::asio::awaitable<step> forward_events(const slot_result& slot);
    /// Takes a piece of a stream and returns the whole events that it ends.
    /// Error: malformed when an event or the stream is longer than is taken.
    result<std::string> take_events(const std::string& piece);
    boost::asio::awaitable<step>
    forward_whole_response(const slot_result& slot);
    boost::asio::awaitable<void> refuse(duration retry_after, reason why);
    boost::asio::awaitable<void> fail(int status, reason why);
    boost::asio::awaitable<void> end_over();
    void note_first_piece();
    void release(const slot_result& slot, serving::slot_outcome outcome);

    run_services services;
    std::shared_ptr<const serving::serving_configuration> configuration;
    const serving::serving_route& route;
    net::http_exchange& exchange;
    std::string body;
    platform::caller_parameters terms;
    time_point arrived;
    time_point ends_at;
    boost::asio::steady_timer timer;
    net::http_cancellation sending;
    slot_cancellation waiting;
    std::unique_ptr<net::http_stream> stream;
    serving::event_splitter events;
    std::size_t streamed_bytes = 0;
    std::vector<std::string> failed_runners;
    std::uint64_t digest = 0;
    /// Number of the slot request that was refused; zero for none.
    std::uint64_t refused_slot = 0;
    /// Runners at which the request may have run.
    std::int64_t runs = 0;
    /// Runners that refused without running it.
    int refusals = 0;
    bool head_sent = false;
    bool caller_gone = false;
    bool time_over = false;
};

} // namespace chicory::node

#endif
