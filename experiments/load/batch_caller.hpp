#ifndef CHICORY_EXPERIMENTS_LOAD_BATCH_CALLER_HPP
#define CHICORY_EXPERIMENTS_LOAD_BATCH_CALLER_HPP

#include "experiments/load/entry_points.hpp"
#include "experiments/load/load_plan.hpp"
#include "experiments/load/load_report.hpp"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <string>

namespace chicory::load
{

/// Returns the JSONL body of a job and fills `expected` with the response body
/// of each item by its custom ID.
std::string make_job(
    const batch_source& source,
    std::uint64_t seed,
    std::map<std::string, std::string>& expected);

/// Compares result lines with the expected response bodies and sets the counts
/// of completed, failed, wrong, duplicate and missing items.
void check_results(
    const std::string& lines,
    const std::map<std::string, std::string>& expected,
    batch_result& job_result);

/// Submits one job, repeats the submission with the same idempotency key until
/// it is accepted, polls its status through any batch process and checks its
/// results.
class batch_caller
{
public:
    batch_caller(
        net::http_client& http,
        entry_points& initial_entries,
        batch_source initial_source,
        std::uint64_t seed,
        time_point initial_deadline);

    /// Runs the job until it ends or until the deadline passes.
    boost::asio::awaitable<void> run(batch_result& job_result);

private:
    boost::asio::awaitable<void> submit(batch_result& job_result);
    boost::asio::awaitable<void> poll_status(batch_result& job_result);
    boost::asio::awaitable<void> read_results(batch_result& job_result);
    net::http_request
    make_request(const std::string& method, const std::string& target) const;
    boost::asio::awaitable<net::http_response> call(net::http_request request);
    boost::asio::awaitable<void> wait_for_poll();
    bool is_past_deadline() const;

    net::http_client& client;
    entry_points& entries;
    batch_source source;
    time_point deadline;
    std::string job_key;
    /// Must be declared before `lines`, whose initializer fills it.
    std::map<std::string, std::string> expected;
    std::string lines;
};

} // namespace chicory::load

#endif
