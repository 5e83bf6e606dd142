#ifndef CHICORY_TESTS_STANDINS_RUNNER_STANDIN_HPP
#define CHICORY_TESTS_STANDINS_RUNNER_STANDIN_HPP

#include "net/net.hpp"
#include "tests/standins/lagging_value.hpp"
#include "tests/standins/run.hpp"
#include "tests/standins/run_log.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace chicory::standin
{

/// Settings of a stand-in for a backend server.
struct runner_settings
{
    std::int64_t slots = 8;
    std::chrono::milliseconds first_token{50};
    std::chrono::milliseconds token{20};
    std::chrono::milliseconds load_lag{0};
    bool plain = false;
    bool ignore_fencing = false;
    /// Address of the platform whose weight store provides models, versions and
    /// adapters; with port 0 no weight store is used.
    net::endpoint weight_store;
    /// Name of the log file, which survives a crash; empty for none.
    std::string log_file;
    /// A run whose body contains this text terminates the process; empty for
    /// none.
    std::string crash_mark;
    /// Seed of the random variation of the time per token.
    std::uint64_t seed = 0;
};

/// Stands in for a backend server with continuous batching. Every request is
/// admitted; more than `slots` concurrent runs slow each other down.
class runner_standin
{
public:
    runner_standin(
        boost::asio::any_io_executor executor, runner_settings settings);

    /// Handles one HTTP call; see docs/STANDINS.md.
    boost::asio::awaitable<void> handle(net::http_exchange& exchange);

private:
    boost::asio::awaitable<void>
    start_run(net::http_exchange& exchange, std::string body);
    boost::asio::awaitable<void>
    resume_run(net::http_exchange& exchange, std::string target);
    boost::asio::awaitable<void> generate(std::shared_ptr<run> work);
    boost::asio::awaitable<void> send_response(
        net::http_exchange& exchange,
        std::shared_ptr<run> work,
        std::size_t offset);
    boost::asio::awaitable<void> send_pieces(
        net::http_exchange& exchange,
        std::shared_ptr<run> work,
        std::size_t offset,
        std::shared_ptr<bool> disconnected);
    boost::asio::awaitable<void> send_document(
        net::http_exchange& exchange,
        std::shared_ptr<run> work,
        std::size_t offset,
        std::shared_ptr<bool> disconnected);
    boost::asio::awaitable<void> wait_while_silent();
    boost::asio::awaitable<void> cancel_orphan(std::shared_ptr<run> work);
    boost::asio::awaitable<void> wait(std::chrono::milliseconds length);
    void end(run& work, run_state state, const std::string& outcome);
    void crash(const run& work);
    void report_load();
    net::http_response
    handle_call(const net::http_request& head, const std::string& body);
    net::http_response cancel(const std::string& target);
    boost::asio::awaitable<net::http_response> handle_order(std::string body);
    boost::asio::awaitable<bool> fetch_weights(std::string name);
    std::string get_required_weights(const boost::json::object& order) const;
    void execute_order(const boost::json::object& order);
    void load_weights(std::string new_model, std::string new_version);
    void handle_control(const boost::json::object& request);
    bool is_run(const net::http_request& head) const;

    boost::asio::any_io_executor executor;
    runner_settings settings;
    run_log log;
    std::map<std::string, std::shared_ptr<run>> runs;
    std::mt19937_64 generator;
    std::int64_t in_progress = 0;
    std::int64_t highest_fencing_number = 0;
    std::uint64_t incarnation;
    net::http_client client;
    std::string model;
    std::string version;
    std::set<std::string> adapters;
    std::string role = "mixed";
    bool leaving = false;
    bool refusing = false;
    bool silent = false;
    lagging_value<boost::json::object> load;
};

} // namespace chicory::standin

#endif
