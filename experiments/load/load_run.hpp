#ifndef CHICORY_EXPERIMENTS_LOAD_LOAD_RUN_HPP
#define CHICORY_EXPERIMENTS_LOAD_LOAD_RUN_HPP

#include "experiments/load/entry_points.hpp"
#include "experiments/load/load_plan.hpp"
#include "experiments/load/load_report.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <string>

namespace chicory::load
{

/// Sends the load of a plan on one thread and records the outcomes.
class load_run
{
public:
    explicit load_run(load_plan initial_plan);

    /// Runs the plan and returns its report. Error: unavailable when no gate
    /// responds with entry addresses.
    result<load_report> run();

private:
    boost::asio::awaitable<void> start();
    boost::asio::awaitable<void>
    send_requests(online_source source, std::uint64_t seed);
    boost::asio::awaitable<void>
    send_request(online_source source, std::string name, duration intended);
    boost::asio::awaitable<void> send_once(
        online_source source,
        std::string body,
        sample& request_sample,
        duration timeout);
    boost::asio::awaitable<std::string> read_response(
        net::http_stream& stream,
        sample& request_sample,
        duration timeout,
        bool& is_complete);
    boost::asio::awaitable<void> run_batch(std::size_t place);
    boost::asio::awaitable<void> show_progress();
    boost::asio::awaitable<void> stop_when_done();
    boost::asio::awaitable<void> wait_until_time(duration when);
    duration get_elapsed() const;

    load_plan plan;
    boost::asio::io_context context;
    net::http_client client;
    entry_points entries;
    time_point started;
    load_report report;
    bool reachable = false;
    std::size_t in_progress = 0;
};

/// Runs a plan with a new `load_run`. Error: unavailable when no gate responds
/// with entry addresses.
result<load_report> run_load(load_plan plan);

} // namespace chicory::load

#endif
