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

/// Counts of final items.
struct job_progress
{
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t outcome_unknown = 0;
};

/// Returns the counts of a job's committed chunks.
job_progress count_progress(const std::vector<stored_chunk>& chunks);

/// Returns the line of an item as callers see it, with its newline.
std::string to_result_line(const item_record& item);

/// Merges the results of a chunk and of the chunks split off from it into
/// lines in input order. Error: internal for a line that cannot be decoded.
result<std::string> merge_results(const std::vector<std::string>& objects);

/// Streams results in input order from the platform's stores alone, so that
/// any process can, whichever one ran the items.
class result_reader
{
public:
    result_reader(job_table& table, ports::object_store& objects);

    /// Streams the results that are committed. The body is not ended when a
    /// store fails half-way, so that the caller sees that it is not whole.
    /// Errors before the first byte: unavailable, timeout, internal.
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
