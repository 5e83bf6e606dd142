#ifndef CHICORY_SERVERS_BATCH_RESULT_READER_HPP
#define CHICORY_SERVERS_BATCH_RESULT_READER_HPP

#include "net/net.hpp"
#include "servers/batch/job_table.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chicory::batch
{

/// Number of items in each final state.
struct job_progress
{
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t outcome_unknown = 0;
};

/// Returns the item counts of a job's committed chunks.
job_progress count_progress(const std::vector<stored_chunk>& chunks);

/// Returns the line of an item in the format sent to callers, including the
/// newline.
std::string to_result_line(const item_record& item);

/// Merges the results of a chunk and of the chunks split off from it into lines
/// in input order. Error: internal for a line that cannot be decoded.
result<std::string> merge_results(const std::vector<std::string>& objects);

/// Streams results in input order. Reads only from the platform's stores, so
/// that any process can serve the results of any job.
class result_reader
{
public:
    result_reader(job_table& table, ports::object_store& objects);

    /// Streams the results that are committed. When a store fails after the
    /// first byte was sent, the body is left unterminated so that the caller
    /// detects that it is incomplete. Errors before the first byte:
    /// unavailable, timeout, internal.
    boost::asio::awaitable<result<void>>
    stream(net::http_exchange& exchange, stored_job job);

private:
    boost::asio::awaitable<result<std::string>>
    read_group(std::vector<stored_chunk> group);

    job_table& table;
    ports::object_store& objects;
};

} // namespace chicory::batch

#endif
