#ifndef CHICORY_TESTS_STANDINS_RUN_LOG_HPP
#define CHICORY_TESTS_STANDINS_RUN_LOG_HPP

#include <boost/json.hpp>

#include <cstddef>
#include <fstream>
#include <string>

namespace chicory::standin
{

/// Records every run and order that a backend server received. If a file is
/// given, each event is appended to it immediately, so that the log survives a
/// crash.
class run_log
{
public:
    /// Opens the file for appending. With an empty name the log is stored in
    /// memory only.
    explicit run_log(const std::string& file_name);

    /// Logs the start of a run and returns its index in the log.
    std::size_t add_run(
        const std::string& run_id,
        const std::string& path,
        const std::string& body);

    /// Logs the outcome of a run: "completed", "cancelled", "orphaned" or
    /// "crashed".
    void end_run(std::size_t index, const std::string& outcome);

    /// Logs a request that was refused and therefore not run.
    void add_refusal(const std::string& run_id, const std::string& body);

    /// Logs an order and whether the server accepted it.
    void add_order(const boost::json::value& order, bool accepted);

    /// Returns the log in the JSON form of `GET /control/log`.
    boost::json::object to_json() const;

private:
    void append(const std::string& event, boost::json::object fields);

    boost::json::array runs;
    boost::json::array refusals;
    boost::json::array orders;
    std::ofstream file;
};

} // namespace chicory::standin

#endif
