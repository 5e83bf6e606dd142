#ifndef CHICORY_SERVERS_NODE_QUARANTINE_RECORDS_HPP
#define CHICORY_SERVERS_NODE_QUARANTINE_RECORDS_HPP

#include "policy/serving/serving.hpp"
#include "ports/ports.hpp"
#include "servers/node/table_watch.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace chicory::node
{

/// Returns the JSON text of a quarantine that ends at a time of the store's
/// clock, in milliseconds.
std::string
to_text(const serving::trait_quarantine& quarantine, std::int64_t until_ms);

/// Returns the quarantine of a record at a time of the store's clock, or
/// nothing if the record cannot be decoded.
std::optional<serving::trait_quarantine> read_quarantine(
    const ports::record& source, std::optional<std::int64_t> now_ms);

/// Quarantines of the fleet in the store, one record for each trait. Nodes that
/// have no contact with each other, and nodes that start after all others have
/// ended, learn of a quarantine here. An operator ends one by removing its
/// record.
class quarantine_records
{
public:
    /// `hook` is called with each change that any node made. The store must
    /// outlive this object.
    quarantine_records(
        boost::asio::io_context& io,
        ports::record_store& records,
        std::uint64_t seed,
        std::function<void(const serving::quarantine_change&)> hook);

    /// Starts to watch the table.
    void start();

    /// Writes a change. Repeats the write until the store accepts it or a newer
    /// change of the same trait replaces it.
    void write(const serving::quarantine_change& change);

private:
    /// A change to write, with the time at which its quarantine ends.
    struct unwritten_change
    {
        std::uint64_t number = 0;
        time_point until;
        serving::quarantine_change change;
    };

    void apply(const ports::record& changed);
    void apply_snapshot(const std::vector<ports::record>& records);
    boost::asio::awaitable<void> write_all();
    boost::asio::awaitable<result<void>> write_one(unwritten_change unwritten);

    boost::asio::io_context& context;
    ports::record_store& store;
    std::function<void(const serving::quarantine_change&)> on_change;
    table_watch watch;
    std::set<std::uint64_t> known;
    std::map<std::uint64_t, unwritten_change> unwritten;
    std::uint64_t next_number = 1;
    bool is_writing = false;
};

} // namespace chicory::node

#endif
