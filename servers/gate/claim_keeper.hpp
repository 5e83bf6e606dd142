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

/// How a claim came out.
enum class claim_verdict
{
    granted,
    taken,
    failed,
    /// The time was over before the outcome was known.
    late,
};

/// What is known of a claim.
struct claim_end
{
    claim_verdict verdict = claim_verdict::failed;
    /// Version of the row, of this or of the other request.
    std::int64_t version = 0;
    /// Row of the other request.
    std::string value;
};

/// Claims idempotency keys in the table service: binds online::claim_batcher
/// to it. Without grouping each key has a batcher of its own, so that its
/// claim is written at once and alone.
class claim_keeper
{
public:
    claim_keeper(
        boost::asio::any_io_executor executor,
        ports::table_service& table,
        metrics& numbers,
        bool grouped);

    /// Claims a key for an operation. `version` is that of a row that may be
    /// replaced; zero claims a key that nobody has used. A claim that is
    /// granted after `limit` is recorded as not run, so that a second send may
    /// run.
    boost::asio::awaitable<claim_end> claim(
        std::string key,
        std::string operation,
        std::int64_t version,
        duration limit);

    /// Stores an outcome under a claim that is held, in the background.
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
        std::optional<claim_end> end;
    };

    /// Returns the name of the batcher that writes a key's row.
    std::string group_of(const std::string& key) const;
    void apply(const std::string& group, const online::claim_actions& actions);
    void settle(const std::string& operation, claim_end end);
    void release_if_given_up(const online::claim_granted& told);
    boost::asio::awaitable<void>
    write(std::string group, online::write_claims order);
    boost::asio::awaitable<void>
    read(std::string group, online::read_claims order);

    boost::asio::any_io_executor executor;
    ports::table_service& table;
    metrics& numbers;
    bool grouped;
    /// Batchers with rows to write, by group.
    std::map<std::string, online::claim_batcher> batchers;
    std::map<std::string, std::shared_ptr<waiter>> waiters;
    /// Keys of claims whose requests were refused before the outcome was known,
    /// by operation.
    std::map<std::string, std::string> given_up;
};

} // namespace chicory::gate

#endif
