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

/// Execution of one online request: acquires a slot, sends the request to the
/// runner, and forwards the response while it arrives. A request that may have
/// run is sent again only if its route allows that.
class online_call : public std::enable_shared_from_this<online_call>
{
public:
    /// The configuration stays in use for the whole call and must contain
    /// `initial_route`.
    online_call(
        boost::asio::io_context& io,
        run_services initial_services,
        std::shared_ptr<const serving::serving_configuration>
            initial_configuration,
        const serving::serving_route& initial_route,
        net::http_exchange& caller,
        std::string initial_body,
        time_point received);

    /// Executes the request and responds to the caller.
    boost::asio::awaitable<void> run();

    /// Refuses the request if it waits for a slot and may outlast the stop of
    /// this node, which has begun.
    void on_stop_begun();

    /// Ends the request with an answer, as the time for work in the stop of
    /// this node is over.
    void on_stop_deadline();

private:
    enum class step
    {
        /// The request may be sent to another runner.
        retry,
        /// The call is complete.
        done,
    };

    void start_timer();
    void on_caller_disconnected(net::connection_side side);
    void on_deadline();
    void close_run();
    bool is_aborted() const;
    /// Returns whether a run that begins now ends before a stop of this node.
    bool may_begin_run() const;
    /// Records that this process ends the request after it may have run.
    void record_cut_off();
    /// Applies the current configuration to the rest of the call. Returns
    /// false if it has no route for the request any more.
    bool update_route();
    void set_deadline();
    /// Returns whether the request may run once more if it has run already.
    bool may_run_again() const;
    slot_requirements make_slot_requirements() const;
    boost::asio::awaitable<void> reject_without_route();
    net::http_request make_request(const std::string& runner) const;
    boost::asio::awaitable<step> attempt();
    /// Continues after a run without a response; `ended` is the outcome with
    /// which its slot was released.
    boost::asio::awaitable<step> handle_failure(
        const std::string& runner,
        const runner_outcome& outcome,
        serving::slot_outcome ended);
    boost::asio::awaitable<step> forward_response(const slot_result& slot);
    boost::asio::awaitable<step> forward_events(const slot_result& slot);
    /// Returns the outcome of a run that ended with `outcome`: `crashed` only
    /// if the end shows that the runner crashed. `has_event` is true if the run
    /// returned an event.
    boost::asio::awaitable<serving::slot_outcome> classify_end(
        std::string runner, serving::slot_outcome outcome, bool has_event);
    /// Returns what is known about a run whose connection was closed, without
    /// a probe.
    serving::closed_run
    describe_closed_run(const std::string& runner, bool has_event) const;
    /// Checks that a stream may end here. Error: unavailable inside an event,
    /// before the first event of the caller's stream, or before the first event
    /// of a run that continues it: such a run does not show that the stream is
    /// complete.
    result<void> check_end() const;
    /// Adds a piece of a stream and returns the events that it completes.
    /// Error: malformed when an event or the stream is longer than its limit in
    /// bytes, or when the first event of a run does not follow the last one of
    /// the runs before.
    result<std::string> split_events(const std::string& piece);
    boost::asio::awaitable<step>
    forward_whole_response(const slot_result& slot);
    /// Returns whether a stream that the caller has begun to receive may
    /// continue at another runner.
    bool may_resume() const;
    /// Ends a run whose stream broke off or cannot be a part of the caller's
    /// stream, and continues at another runner if possible.
    boost::asio::awaitable<step> end_broken_run(
        const slot_result& slot,
        serving::slot_outcome outcome,
        std::string failure);
    boost::asio::awaitable<void> refuse(duration retry_after, reason why);
    boost::asio::awaitable<void> fail(int status, reason why);
    boost::asio::awaitable<void> finish_aborted();
    void record_first_piece();
    void log_failed_attempt(
        const std::string& runner,
        serving::slot_outcome outcome,
        const std::string& failure) const;
    void release(
        const slot_result& slot,
        serving::slot_outcome outcome,
        serving::crash_stage stage = serving::crash_stage::before_first_event);

    run_services services;
    std::shared_ptr<const serving::serving_configuration> configuration;
    /// Points into `configuration`.
    const serving::serving_route* route;
    /// Whether the route allowed to repeat the request when it arrived.
    bool was_repeatable;
    net::http_exchange& exchange;
    std::string body;
    platform::caller_parameters parameters;
    time_point arrived;
    time_point deadline;
    boost::asio::steady_timer timer;
    net::http_cancellation send_cancellation;
    slot_cancellation slot_request_cancellation;
    std::unique_ptr<net::http_stream> stream;
    serving::event_splitter events;
    std::size_t streamed_bytes = 0;
    /// True after an event was forwarded to the caller.
    bool has_forwarded_event = false;
    std::vector<std::string> failed_runners;
    /// Start of the process of the runner to which the current run was sent.
    std::int64_t runner_started_ms = 0;
    std::uint64_t digest = 0;
    /// Digests of the parts of the prompt that other requests may share.
    serving::part_digests parts;
    /// Number of the slot request that was refused; zero means none.
    std::uint64_t refused_slot = 0;
    /// Number of runners on which the request may have run.
    std::int64_t runs = 0;
    /// Number of runners that refused the request, or were unreachable, without
    /// running it.
    int refusals = 0;
    bool head_sent = false;
    bool caller_disconnected = false;
    bool deadline_reached = false;
    bool stop_deadline_reached = false;
};

} // namespace chicory::node

#endif
