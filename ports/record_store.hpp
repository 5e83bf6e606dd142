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

/// A record of a table. Records are grouped in partitions; a transaction
/// stays within one. The version comes from one counter of the whole store,
/// which grows with each transaction.
struct record
{
    std::string table;
    std::string partition;
    std::string key;
    std::string value;
    std::int64_t version = 0;
    /// True in a change that removed the record; the value is then empty.
    bool deleted = false;

    bool operator==(const record&) const = default;
};

/// Holds a transaction back unless the record has this version; zero means
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

/// Conditions and writes in one partition that take effect together or not
/// at all.
struct record_transaction
{
    std::string partition;
    std::vector<record_condition> conditions;
    std::vector<record_write> writes;
};

/// What a transaction came to.
struct record_outcome
{
    bool committed = false;
    /// Version of all records written.
    std::int64_t version = 0;
    /// Records named in conditions, as found when one failed.
    std::vector<record> conflicts;
};

/// Records read in one call, and the store's newest version at that moment.
struct record_page
{
    std::vector<record> records;
    std::int64_t version = 0;
    bool has_more = false;
};

/// A part of a partition of a table, in ascending order of keys.
struct record_range
{
    std::string table;
    std::string partition;
    /// First key; empty for the first of all.
    std::string from;
    /// First key behind the range; empty for no end.
    std::string to;
};

/// Port to a transactional store of records whose changes can be followed.
class record_store
{
public:
    virtual ~record_store() = default;

    /// Reads records of a range, as of one moment. Errors: unavailable,
    /// timeout.
    virtual boost::asio::awaitable<result<record_page>>
    read(record_range range) = 0;

    /// Lists the partitions of a table. Errors: unavailable, timeout.
    virtual boost::asio::awaitable<result<std::vector<std::string>>>
    list_partitions(std::string table) = 0;

    /// Waits for changes of a table after a version. No records when nothing
    /// changed in the time. Errors: not_found when changes so old are
    /// forgotten; unavailable, timeout.
    virtual boost::asio::awaitable<result<record_page>>
    follow(std::string table, std::int64_t after, duration wait) = 0;

    /// Runs a transaction. Errors: unavailable when it certainly did not take
    /// effect and never will; invalid_input when the store does not take it;
    /// outcome_unknown when the answer was lost: it may still take effect
    /// seconds later.
    virtual boost::asio::awaitable<result<record_outcome>>
    transact(record_transaction request) = 0;

    /// Returns the store's steady clock in milliseconds, the same for all
    /// nodes whatever their own clocks say; nothing before the first answer.
    virtual std::optional<std::int64_t> clock_ms() const = 0;
};

} // namespace chicory::ports

#endif
