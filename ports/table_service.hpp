#ifndef CHICORY_PORTS_TABLE_SERVICE_HPP
#define CHICORY_PORTS_TABLE_SERVICE_HPP

#include "core/core.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chicory::ports
{

/// A row of the table service. The version grows with each write of the row
/// and is never zero.
struct row
{
    std::string key;
    std::string value;
    std::int64_t version = 0;

    bool operator==(const row&) const = default;
};

/// Condition of a transaction: the row must have this version. Zero means that
/// the row must not exist.
struct row_condition
{
    std::string key;
    std::int64_t version = 0;
};

/// Writes a row, or deletes it when there is no value.
struct row_write
{
    std::string key;
    std::optional<std::string> value;
};

/// Conditions and writes that take effect atomically.
struct transaction
{
    std::vector<row_condition> conditions;
    std::vector<row_write> writes;
};

/// Outcome of a transaction.
struct transaction_outcome
{
    bool committed = false;
    /// Versions of the written rows, in the order of the writes.
    std::vector<std::int64_t> versions;
    /// Rows whose condition failed, with their current value and version; the
    /// version is zero for a missing row.
    std::vector<row> conflicts;
};

/// Port to the platform's transactional table service.
class table_service
{
public:
    virtual ~table_service() = default;

    /// Reads one row; returns nothing when it does not exist. Errors:
    /// unavailable, timeout.
    virtual boost::asio::awaitable<result<std::optional<row>>>
    read(std::string key) = 0;

    /// Reads up to `limit` rows whose keys begin with `prefix` and are greater
    /// than `after`, in ascending order of keys. Errors: unavailable, timeout.
    virtual boost::asio::awaitable<result<std::vector<row>>>
    scan(std::string prefix, std::string after, std::int64_t limit) = 0;

    /// Runs a transaction. Errors: unavailable when it certainly did not take
    /// effect; outcome_unknown when the response was lost.
    virtual boost::asio::awaitable<result<transaction_outcome>>
    transact(transaction request) = 0;
};

} // namespace chicory::ports

#endif
