#ifndef CHICORY_TESTS_SERVERS_GATE_FAKE_BACKEND_HPP
#define CHICORY_TESTS_SERVERS_GATE_FAKE_BACKEND_HPP

#include "backend/backend.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chicory::gate
{

/// The bytes of one connection, which a test supplies.
struct fake_connection
{
    explicit fake_connection(boost::asio::any_io_executor executor)
        : change(std::move(executor))
    {
    }

    void feed(std::string bytes)
    {
        this->pieces.push_back(std::move(bytes));
        this->change.cancel();
    }

    void finish(bool is_complete)
    {
        this->ended = is_complete;
        this->broken = !is_complete;
        this->change.cancel();
    }

    std::deque<std::string> pieces;
    bool ended = false;
    bool broken = false;
    boost::asio::steady_timer change;
};

/// Reads a fake connection.
class fake_stream final : public net::http_stream
{
public:
    explicit fake_stream(std::shared_ptr<fake_connection> source)
        : source(std::move(source))
    {
        this->response.headers["content-type"] = "text/event-stream";
    }

    const net::http_response& head() const override
    {
        return this->response;
    }

    boost::asio::awaitable<result<std::string>> read_some(duration) override
    {
        const std::shared_ptr<fake_connection> link = this->source;
        while (link->pieces.empty() && !link->ended && !link->broken)
        {
            link->change.expires_at(
                boost::asio::steady_timer::time_point::max());
            co_await link->change.async_wait(
                boost::asio::as_tuple(boost::asio::use_awaitable));
        }
        if (!link->pieces.empty())
        {
            std::string piece = link->pieces.front();
            link->pieces.pop_front();
            co_return piece;
        }
        if (link->broken)
        {
            co_return make_error(error_kind::unavailable, "broken");
        }
        co_return std::string();
    }

    void close() override
    {
        this->source->finish(false);
    }

private:
    std::shared_ptr<fake_connection> source;
    net::http_response response;
};

/// A backend server whose responses a test supplies.
class fake_backend final : public backend::backend_server
{
public:
    explicit fake_backend(boost::asio::any_io_executor executor)
        : executor(std::move(executor))
    {
        this->report.incarnation = 1;
    }

    boost::asio::awaitable<net::open_outcome>
    run(net::endpoint, backend::run_request request, duration) override
    {
        this->runs.push_back(request.run_id);
        if (this->drops_responses)
        {
            net::open_outcome dropped;
            dropped.sent = net::send_state::maybe_sent;
            dropped.failure = make_error(error_kind::timeout, "no response");
            co_return dropped;
        }
        co_return this->open(request.run_id);
    }

    boost::asio::awaitable<net::open_outcome>
    resume(net::endpoint, std::string run_id, std::uint64_t offset, duration)
        override
    {
        this->resumed_offsets.push_back(offset);
        co_return this->open(run_id);
    }

    boost::asio::awaitable<result<void>>
    cancel(net::endpoint, std::string run_id) override
    {
        this->cancels.push_back(run_id);
        co_return boost::outcome_v2::success();
    }

    boost::asio::awaitable<result<backend::load_report>>
    load(net::endpoint) override
    {
        this->load_calls += 1;
        if (this->unreachable)
        {
            co_return make_error(error_kind::unavailable, "no connection");
        }
        if (!this->reports_load)
        {
            co_return make_error(error_kind::internal, "no report");
        }
        co_return this->report;
    }

    boost::asio::awaitable<result<void>>
    order(net::endpoint, backend::engine_order) override
    {
        co_return boost::outcome_v2::success();
    }

    /// Returns the newest connection of a run.
    fake_connection& connection(const std::string& run_id)
    {
        return *this->connections.at(run_id);
    }

    std::vector<std::string> runs;
    std::vector<std::string> cancels;
    std::vector<std::uint64_t> resumed_offsets;
    backend::load_report report;
    bool reports_load = true;
    /// True while calls for load reports cannot reach the server.
    bool unreachable = false;
    int load_calls = 0;
    /// True while runs are started but no response arrives.
    bool drops_responses = false;
    /// True while no process listens on the server's port.
    bool refuses_connections = false;

private:
    net::open_outcome open(const std::string& run_id)
    {
        net::open_outcome outcome;
        if (this->refuses_connections)
        {
            outcome.failure = make_error(error_kind::unavailable, "refused");
            return outcome;
        }
        const std::shared_ptr<fake_connection> opened =
            std::make_shared<fake_connection>(this->executor);
        this->connections[run_id] = opened;
        outcome.sent = net::send_state::maybe_sent;
        outcome.stream = std::make_unique<fake_stream>(opened);
        return outcome;
    }

    boost::asio::any_io_executor executor;
    std::map<std::string, std::shared_ptr<fake_connection>> connections;
};

} // namespace chicory::gate

#endif
