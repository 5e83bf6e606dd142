#ifndef CHICORY_SERVERS_BATCH_SUBMISSION_HPP
#define CHICORY_SERVERS_BATCH_SUBMISSION_HPP

#include "net/net.hpp"
#include "policy/configuration/configuration.hpp"
#include "servers/batch/job_table.hpp"
#include "servers/batch/refusal.hpp"

#include <cstdint>
#include <string>
#include <variant>

namespace chicory::batch
{

/// What a caller asks for, besides the lines.
struct submission_request
{
    configuration::route route;
    /// The caller's key, or empty.
    std::string key;
    std::int64_t deadline_ms = 0;
};

/// A job that was accepted now or by an earlier submission under its key.
struct accepted_job
{
    job_record record;
    bool is_new = true;
};

using submission_outcome = std::variant<accepted_job, refusal>;

/// Accepts jobs: lines are validated and stored while they arrive, then the
/// manifest, then the rows in one transaction.
class submission
{
public:
    submission(
        job_table& table,
        ports::object_store& objects,
        const lifecycles& charts,
        identifier_source& identifiers);

    /// Reads the body of an exchange and accepts it as a job.
    boost::asio::awaitable<submission_outcome>
    accept(net::http_exchange& exchange, submission_request request);

private:
    /// What was read and stored of a body.
    struct content
    {
        std::string digest;
        std::uint64_t items = 0;
        std::vector<item_chunk> chunks;
    };

    boost::asio::awaitable<std::variant<content, refusal>>
    read_content(net::http_exchange& exchange, std::string job, bool store);
    boost::asio::awaitable<result<void>> store_chunks(
        content& read, std::vector<item_chunk> chunks, std::string job);
    boost::asio::awaitable<submission_outcome>
    repeat(net::http_exchange& exchange, std::string job);
    boost::asio::awaitable<submission_outcome>
    commit(job_record record, const content& read);
    boost::asio::awaitable<submission_outcome> settle_race(job_record record);

    job_table& table;
    ports::object_store& objects;
    const lifecycles& charts;
    identifier_source& identifiers;
};

/// One chunk of a manifest.
struct manifest_entry
{
    std::uint64_t first = 0;
    std::uint64_t items = 0;
};

/// Encodes the list of a job's chunks.
std::string encode_manifest(const std::vector<manifest_entry>& entries);

/// Decodes a manifest. Error: internal.
result<std::vector<manifest_entry>> decode_manifest(const std::string& bytes);

} // namespace chicory::batch

#endif
