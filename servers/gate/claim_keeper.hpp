#ifndef CHICORY_SERVERS_GATE_CLAIM_KEEPER_HPP
#define CHICORY_SERVERS_GATE_CLAIM_KEEPER_HPP

#include "core/core.hpp"
#include "drivers/drivers.hpp"
#include "policy/online/online.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace chicory::gate
{

/// Outcome of a claim.
enum class claim_status
{
    granted,
    /// Another request holds the key.
    taken,
    /// The table service did not record the claim, or its outcome is unknown.
    failed,
    /// The time limit passed before the outcome was known.
    timed_out,
};

/// Result of a claim.
struct claim_result
{
    claim_status status = claim_status::failed;
    /// Version of the key's row, written by this or by the other request; zero
    /// when there is none.
    std::int64_t version = 0;
    /// Value of the row, when another request holds the key.
    std::string value;
};

/// Claims idempotency keys in the table service, in transactions that
/// online::claim_batcher composes. Without grouping, each key has its own
/// batcher, so that its claim is written immediately and in its own
/// transaction.
class claim_keeper
{
public:
    claim_keeper(
        boost::asio::any_io_executor executor,
        ports::table_service& table,
        metrics& counters,
        bool grouped);

    /// Claims a key for an operation. `version` is the version of the row to
    /// replace; zero claims an unused key. The result is `timed_out` after
    /// `limit`. A claim that is granted later than that is recorded as not run,
    /// so that a second request with the key may run.
    boost::asio::awaitable<claim_result> claim(
        std::string key,
        std::string operation,
        std::int64_t version,
        duration limit);

    /// Stores an outcome in the row of a granted claim, in the background.
    void record(
        const std::string& key,
        const std::string& operation,
        std::int64_t version,
        const std::string& outcome);

    /// Returns the number of rows that are still to be written.
    std::size_t in_progress() const;

private:
    struct waiter
    {
        explicit waiter(const boost::asio::any_io_executor& executor)
            : wake(executor)
        {
        }

        boost::asio::steady_timer wake;
        std::optional<claim_result> result;
    };

    /// Returns the name of the batcher that writes a key's row.
    std::string group_of(const std::string& key) const;
    void apply(const std::string& group, const online::claim_actions& actions);
    void resolve(const std::string& operation, claim_result result);
    void release_if_abandoned(const online::claim_granted& grant);
    boost::asio::awaitable<void>
    write(std::string group, online::write_claims action);
    boost::asio::awaitable<void>
    read(std::string group, online::read_claims action);

    boost::asio::any_io_executor executor;
    ports::table_service& table;
    metrics& counters;
    bool grouped;
    /// Batchers with rows to write, by group.
    std::map<std::string, online::claim_batcher> batchers;
    std::map<std::string, std::shared_ptr<waiter>> waiters;
    /// Keys of the claims whose time limit passed before their outcome was
    /// known, by operation.
    std::map<std::string, std::string> abandoned;
};

} // namespace chicory::gate

#endif
