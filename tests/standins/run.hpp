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

/// State of a run.
enum class run_state
{
    running,
    completed,
    cancelled,
};

/// One run with the response bytes generated so far. Readers wait on `changed`
/// for new bytes or a new state.
struct run
{
    run(boost::asio::any_io_executor executor,
        const std::string& path,
        std::string request_body)
        : body(std::move(request_body)), content(path, body), changed(executor)
    {
        this->changed.expires_at(boost::asio::steady_timer::time_point::max());
    }

    /// Wakes all readers.
    void notify()
    {
        this->changed.cancel();
    }

    std::string body;
    generated_response content;
    std::string bytes;
    run_state state = run_state::running;
    std::size_t log_index = 0;
    /// Number of connections that are reading the response.
    std::size_t readers = 0;
    /// Number of readers since the start of the run.
    std::size_t readers_so_far = 0;
    boost::asio::steady_timer changed;
};

} // namespace chicory::standin

#endif
