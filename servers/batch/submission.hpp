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

/// Parameters of a submission apart from its lines.
struct submission_request
{
    configuration::route route;
    /// The caller's idempotency key, or empty.
    std::string key;
    std::int64_t deadline_ms = 0;
};

/// A job that was accepted by this submission or by an earlier one with the
/// same idempotency key.
struct accepted_job
{
    job_record record;
    bool is_new = true;
};

using submission_outcome = std::variant<accepted_job, refusal>;

/// Accepts jobs. Lines are validated and stored while they arrive; the manifest
/// is stored next, and then the rows are written in one transaction.
class submission
{
public:
    submission(
        job_table& table,
        ports::object_store& objects,
        const lifecycles& charts,
        identifier_source& identifiers);

    /// Reads the body of an exchange and accepts it as a job. Returns a refusal
    /// when the lines are invalid, the key belongs to a job with other content
    /// or a platform service fails.
    boost::asio::awaitable<submission_outcome>
    accept(net::http_exchange& exchange, submission_request request);

private:
    /// Content of a body that was read, with its stored chunks.
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
    match_existing_job(net::http_exchange& exchange, std::string job);
    boost::asio::awaitable<submission_outcome>
    commit(job_record record, const content& read);
    boost::asio::awaitable<submission_outcome>
    resolve_concurrent_submission(job_record record);

    job_table& table;
    ports::object_store& objects;
    const lifecycles& charts;
    identifier_source& identifiers;
};

/// One chunk of a manifest: the index of its first item and the number of
/// items.
struct manifest_entry
{
    std::uint64_t first = 0;
    std::uint64_t items = 0;
};

/// Encodes the list of a job's chunks.
std::string encode_manifest(const std::vector<manifest_entry>& entries);

/// Decodes a manifest. Error: internal when the bytes are not a manifest.
result<std::vector<manifest_entry>> decode_manifest(const std::string& bytes);

} // namespace chicory::batch

#endif
