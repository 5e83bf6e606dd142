#ifndef CHICORY_SERVERS_BATCH_JOB_TABLE_HPP
#define CHICORY_SERVERS_BATCH_JOB_TABLE_HPP

#include "core/core.hpp"
#include "drivers/drivers.hpp"
#include "policy/batch/batch.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>
#include <vector>

namespace chicory::batch
{

/// Outcome of a transaction that was sent once.
struct transaction_report
{
    write_outcome outcome = write_outcome::done;
    /// Rows whose condition failed, with the value and version found.
    std::vector<found_row> conflicts;
    /// Versions of the written rows, in the order of the writes.
    std::vector<std::int64_t> versions;
};

/// Outcome of a write after a dropped response has been resolved.
struct resolved_write
{
    bool took_effect = false;
    /// Version of the row from which the outcome was determined, or zero when
    /// the conflicting row was not read.
    std::int64_t version = 0;
};

/// Reads and writes the rows of jobs and chunks.
class job_table
{
public:
    job_table(
        boost::asio::any_io_executor executor,
        ports::table_service& service,
        metrics& counters);

    /// Runs a plan once. A dropped response gives `write_outcome::unknown`.
    boost::asio::awaitable<transaction_report> run(write_plan plan);

    /// Runs a plan. When the response is dropped, reads the row back and
    /// determines the outcome from the operation identifier in the row. Errors:
    /// unavailable when the write had no effect, outcome_unknown when the row
    /// could not be read back within `limit`.
    boost::asio::awaitable<result<resolved_write>> write(
        write_plan plan,
        std::string row_key,
        std::string operation,
        duration limit);

    /// Reads a row. Returns version zero when the row does not exist. Errors:
    /// unavailable, timeout.
    boost::asio::awaitable<result<found_row>> read(std::string key);

    /// Reads a job and the version of its open row. Errors: not_found,
    /// unavailable, timeout.
    boost::asio::awaitable<result<stored_job>> read_job(std::string job);

    /// Reads all open jobs. Errors: unavailable, timeout.
    boost::asio::awaitable<result<std::vector<stored_job>>> list_open_jobs();

    /// Reads the rows of a job's chunks, ordered by name. Errors:
    /// unavailable, timeout, internal for a row that cannot be decoded.
    boost::asio::awaitable<result<std::vector<stored_chunk>>>
    list_chunks(std::string job);

private:
    boost::asio::awaitable<result<std::vector<ports::row>>>
    scan_all(std::string prefix);
    boost::asio::awaitable<void> pause(duration length);

    boost::asio::any_io_executor executor;
    ports::table_service& service;
    metrics& counters;
};

} // namespace chicory::batch

#endif
