#ifndef CHICORY_PORTS_RECORD_STORE_HPP
#define CHICORY_PORTS_RECORD_STORE_HPP

#include "core/core.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chicory::ports
{

/// A record of a table. Records are grouped in partitions, and a transaction
/// is limited to one partition. The version comes from a counter of the whole
/// store, which grows with each transaction.
struct record
{
    std::string table;
    std::string partition;
    std::string key;
    std::string value;
    std::int64_t version = 0;
    /// True for a change that removed the record; the value is then empty.
    bool deleted = false;

    bool operator==(const record&) const = default;
};

/// Condition of a transaction: the record must have this version. Zero means
/// that the record must not exist.
struct record_condition
{
    std::string table;
    std::string key;
    std::int64_t version = 0;
};

/// Writes a record, or deletes it when there is no value.
struct record_write
{
    std::string table;
    std::string key;
    std::optional<std::string> value;
};

/// Conditions and writes in one partition that take effect atomically.
struct record_transaction
{
    std::string partition;
    std::vector<record_condition> conditions;
    std::vector<record_write> writes;
};

/// Outcome of a transaction.
struct record_outcome
{
    bool committed = false;
    /// Newest version of the store when it formed the response. The version of
    /// the written records is not above it.
    std::int64_t version = 0;
    /// The records of all conditions as they were when a condition failed,
    /// without those that did not exist.
    std::vector<record> conflicts;
};

/// Records read in one call, and the newest version of the store at the time
/// of the read. `has_more` is true when further records follow.
struct record_page
{
    std::vector<record> records;
    std::int64_t version = 0;
    bool has_more = false;
};

/// A range of keys in one partition of a table, in ascending order.
struct record_range
{
    std::string table;
    std::string partition;
    /// First key of the range; empty for the first key of the partition.
    std::string from;
    /// First key after the range; empty for no upper end.
    std::string to;
};

/// Port to a transactional record store with a change feed.
class record_store
{
public:
    virtual ~record_store() = default;

    /// Reads the records of a range from one consistent snapshot. Errors:
    /// unavailable, timeout.
    virtual boost::asio::awaitable<result<record_page>>
    read(record_range range) = 0;

    /// Lists the partitions of a table. Errors: unavailable, timeout.
    virtual boost::asio::awaitable<result<std::vector<std::string>>>
    list_partitions(std::string table) = 0;

    /// Waits up to `wait` for changes of a table after a version. Returns no
    /// records when nothing changed in that time. Errors: not_found when the
    /// store no longer has the changes after this version; unavailable,
    /// timeout.
    virtual boost::asio::awaitable<result<record_page>>
    follow(std::string table, std::int64_t after, duration wait) = 0;

    /// Runs a transaction. Errors: unavailable when it certainly did not take
    /// effect and never will; invalid_input when the store rejects it;
    /// outcome_unknown when the response was lost: the transaction may still
    /// take effect seconds later.
    virtual boost::asio::awaitable<result<record_outcome>>
    transact(record_transaction request) = 0;

    /// Returns the store's steady clock in milliseconds. It is the same for all
    /// nodes and does not depend on their own clocks. Returns nothing before
    /// the first response of the store.
    virtual std::optional<std::int64_t> clock_ms() const = 0;
};

} // namespace chicory::ports

#endif
