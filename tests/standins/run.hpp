#ifndef CHICORY_TESTS_STANDINS_RUN_HPP
#define CHICORY_TESTS_STANDINS_RUN_HPP

#include "tests/standins/generated_response.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <string>
#include <utility>

namespace chicory::standin
{

/// Where a run stands.
enum class run_state
{
    running,
    completed,
    cancelled,
};

/// One run with the bytes of its answer so far. Readers wait for changes.
struct run
{
    run(boost::asio::any_io_executor executor,
        const std::string& path,
        std::string request_body)
        : body(std::move(request_body)), content(path, body), changed(executor)
    {
        this->changed.expires_at(boost::asio::steady_timer::time_point::max());
    }

    /// Wakes every reader.
    void notify()
    {
        this->changed.cancel();
    }

    std::string body;
    generated_response content;
    std::string bytes;
    run_state state = run_state::running;
    std::size_t log_place = 0;
    /// Connections that are reading the answer.
    std::size_t readers = 0;
    /// Readers that there have been so far.
    std::size_t readers_so_far = 0;
    boost::asio::steady_timer changed;
};

} // namespace chicory::standin

#endif
