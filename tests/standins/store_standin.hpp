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

/// What the store does to calls.
enum class store_fault
{
    none,
    /// Status 503; nothing is done.
    unavailable,
    /// Writes are done and their answers are lost.
    drops_responses,
    /// Status 429; nothing is done.
    rate_limited,
};

/// The users' store in memory, as far as the node needs it: records with
/// versions, transactions, changes, objects.
class store_standin
{
public:
    explicit store_standin(boost::asio::io_context& io);

    /// Listens on a free port of the loopback address and returns it.
    std::uint16_t listen();

    /// Writes a record as the operator or a runner does.
    void
    put(const std::string& table,
        const std::string& partition,
        const std::string& key,
        const std::string& value);
    void remove(
        const std::string& table,
        const std::string& partition,
        const std::string& key);

    /// Forgets all changes so far: who follows older ones must read anew.
    void drop_history();

    /// Value of a record in any partition; empty when there is none.
    std::string value(const std::string& table, const std::string& key) const;

    /// Number of records in a table.
    std::size_t count(const std::string& table) const;

    store_fault fault = store_fault::none;
    /// Time before each call is done.
    std::chrono::milliseconds delay{0};
    int transactions = 0;
    /// Calls so far by path and table, such as "rows-get nodes".
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

    boost::asio::awaitable<void> answer(net::http_exchange& exchange);
    boost::asio::awaitable<void>
    transact(net::http_exchange& exchange, std::string body);
    boost::asio::awaitable<void> follow(net::http_exchange& exchange);
    boost::asio::awaitable<void> read(net::http_exchange& exchange);
    boost::asio::awaitable<void> list(net::http_exchange& exchange);
    boost::asio::awaitable<void>
    serve_object(net::http_exchange& exchange, std::string body);
    void write(const row_name& name, const std::string* value);

    boost::asio::io_context& context;
    net::http_server server;
    std::map<row_name, stored_row> rows;
    std::deque<change> changes;
    std::map<std::string, std::string> objects;
    std::int64_t version = 1;
    std::int64_t forgotten = 0;
};

} // namespace chicory::standins

#endif
