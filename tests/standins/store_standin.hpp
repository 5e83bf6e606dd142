#ifndef CHICORY_TESTS_STANDINS_STORE_STANDIN_HPP
#define CHICORY_TESTS_STANDINS_STORE_STANDIN_HPP

#include "net/net.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <tuple>

namespace chicory::standins
{

/// Fault that the store applies to calls.
enum class store_fault
{
    none,
    /// Responds with status 503; the call has no effect.
    unavailable,
    /// Transactions take effect, but their responses are dropped.
    drops_responses,
    /// Responds with status 429; the call has no effect.
    rate_limited,
};

/// Stands in for the users' store. It holds in memory what the node uses:
/// records with versions, transactions, the history of changes, and objects.
class store_standin
{
public:
    explicit store_standin(boost::asio::io_context& io);

    /// Listens on a free port of the loopback address and returns it.
    std::uint16_t listen();

    /// Writes a record, as an operator or a runner would.
    void
    put(const std::string& table,
        const std::string& partition,
        const std::string& key,
        const std::string& value);
    void remove(
        const std::string& table,
        const std::string& partition,
        const std::string& key);

    /// Drops the history of changes. A client that follows from an older
    /// version gets status 410 and must read all records again.
    void drop_history();

    /// Returns the value of a record in any partition, or an empty string if
    /// there is none.
    std::string value(const std::string& table, const std::string& key) const;

    /// Returns the number of records in a table.
    std::size_t count(const std::string& table) const;

    /// Texts to return as the values of rows in place of the encoded ones, by
    /// key, as after a write of another writer.
    std::map<std::string, std::string> raw_values;
    store_fault fault = store_fault::none;
    /// Delay before each call is handled.
    std::chrono::milliseconds delay{0};
    int transactions = 0;
    /// Number of calls so far by path and table, such as "rows-get nodes".
    std::map<std::string, std::size_t> calls;

private:
    using row_name = std::tuple<std::string, std::string, std::string>;
    struct stored_row
    {
        std::string value;
        std::int64_t version = 0;
    };
    struct change
    {
        row_name name;
        std::int64_t version = 0;
        bool deleted = false;
    };

    boost::asio::awaitable<void> handle_request(net::http_exchange& exchange);
    boost::asio::awaitable<void>
    transact(net::http_exchange& exchange, std::string body);
    boost::asio::awaitable<void> wait_for_changes(net::http_exchange& exchange);
    boost::asio::awaitable<void> read_rows(net::http_exchange& exchange);
    boost::asio::awaitable<void> list_partitions(net::http_exchange& exchange);
    boost::asio::awaitable<void>
    serve_object(net::http_exchange& exchange, std::string body);
    void write(const row_name& name, const std::string* value);
    /// Returns the value of a row as it is sent.
    std::string
    encode_value(const row_name& name, const std::string& value) const;

    boost::asio::io_context& context;
    net::http_server server;
    std::map<row_name, stored_row> rows;
    std::deque<change> changes;
    std::map<std::string, std::string> objects;
    std::int64_t version = 1;
    std::int64_t dropped_version = 0;
};

} // namespace chicory::standins

#endif
