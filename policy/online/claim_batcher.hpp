#ifndef CHICORY_POLICY_ONLINE_CLAIM_BATCHER_HPP
#define CHICORY_POLICY_ONLINE_CLAIM_BATCHER_HPP

#include "core/core.hpp"
#include "policy/online/request.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chicory::online
{

/// A row to write if its stored version equals `version`; zero means that the
/// row must be absent.
struct claim_write
{
    std::string key;
    std::string value;
    std::int64_t version = 0;

    bool operator==(const claim_write&) const = default;
};

/// Instructs the caller to write these rows in one transaction and to report
/// its outcome.
struct write_claims
{
    std::uint64_t batch = 0;
    std::vector<claim_write> writes;
};

/// Instructs the caller to read these rows, whose write has an unknown outcome,
/// and to report them.
struct read_claims
{
    std::uint64_t batch = 0;
    std::vector<std::string> keys;
};

/// The claim is held; the request may be sent.
struct claim_granted
{
    std::string operation;
    std::int64_t version = 0;
};

/// Another request holds the key. `value` is the value of its row.
struct claim_taken_by_other
{
    std::string operation;
    std::string value;
    std::int64_t version = 0;
};

/// The claim is not held; the request must not be sent.
struct claim_failed
{
    std::string operation;
};

using claim_action = std::variant<
    write_claims,
    read_claims,
    claim_granted,
    claim_taken_by_other,
    claim_failed>;
using claim_actions = std::vector<claim_action>;

/// A row as read from the table service; a missing row has version zero.
struct claim_row
{
    std::string key;
    std::string value;
    std::int64_t version = 0;
};

/// Groups the claims of one gate into transactions. While one transaction is in
/// flight, further claims are collected for the next one, so that grouping adds
/// no wait of its own. A row's value begins with the operation that wrote it; a
/// write whose response was lost is recognised by it.
class claim_batcher
{
public:
    /// Maximum number of claims in one transaction.
    static constexpr std::size_t max_batch_size = 100;
    /// Number of writes of one claim after which it fails.
    static constexpr int max_attempts = 5;

    /// Adds a claim. `operation` is unique to the request. A `version` other
    /// than zero replaces the row of a request that was not run.
    claim_actions claim(
        const std::string& key,
        const std::string& operation,
        std::int64_t version = 0);

    /// Adds the outcome of a request, to be stored under its claim.
    claim_actions record(
        const std::string& key,
        const std::string& operation,
        std::int64_t version,
        const std::string& outcome);

    /// Handles the commit of a transaction; `versions` are those of its rows.
    claim_actions
    committed(std::uint64_t batch, const std::vector<std::int64_t>& versions);

    /// Handles a transaction that wrote nothing because of version conflicts in
    /// `rows`.
    claim_actions
    conflicted(std::uint64_t batch, const std::vector<claim_row>& rows);

    /// Handles a transaction that certainly had no effect.
    claim_actions failed(std::uint64_t batch);

    /// Handles a transaction whose response was lost.
    claim_actions unknown(std::uint64_t batch);

    /// Handles the rows that were read after an unknown outcome.
    claim_actions
    read_back(std::uint64_t batch, const std::vector<claim_row>& rows);

    std::size_t size() const;

private:
    struct entry
    {
        std::string key;
        std::string operation;
        std::string value;
        std::int64_t version = 0;
        int attempts = 0;
        bool is_record = false;
    };

    void
    resolve(const entry& written, const claim_row& row, claim_actions& actions);
    void
    resolve_rows(const std::vector<claim_row>& rows, claim_actions& actions);
    void fail_exhausted(claim_actions& actions);
    void write_next(claim_actions& actions);

    std::deque<entry> pending;
    std::vector<entry> in_flight;
    std::uint64_t batch = 0;
};

/// Outcome of a request that was certainly not run, whose key may be claimed
/// again.
inline constexpr std::string_view not_run_outcome = "not_run";

/// Returns a row's value for an operation and its outcome, which is empty while
/// the request is in progress.
std::string
make_claim_value(const std::string& operation, const std::string& outcome);

/// Returns the operation that wrote a row's value.
std::string claim_operation(const std::string& value);

/// Returns the outcome in a row's value; empty while the outcome is unknown.
std::string claim_outcome(const std::string& value);

} // namespace chicory::online

#endif
