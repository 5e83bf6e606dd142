#ifndef CHICORY_TESTS_SUPPORT_MEMORY_PLATFORM_HPP
#define CHICORY_TESTS_SUPPORT_MEMORY_PLATFORM_HPP

#include "drivers/drivers.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace chicory::testing_support
{

/// Fault that one call meets.
enum class call_fault
{
    none,
    down,
    /// The call takes effect, but its response is dropped.
    response_lost,
    /// The call has no effect, and the caller cannot know that.
    request_lost,
};

/// Table service in memory. Each call consumes the next fault of its queue.
class memory_table final : public ports::table_service
{
public:
    std::map<std::string, ports::row> rows;
    std::deque<call_fault> transaction_faults;
    /// Only transactions that write a key with this prefix consume a fault. An
    /// empty prefix matches all transactions.
    std::string faulty_prefix;
    std::deque<call_fault> read_faults;
    /// While this is true, every call fails with `unavailable` and certainly
    /// has no effect.
    bool is_down = false;
    /// Called once after the next read, before its response is returned.
    std::function<void()> after_read;
    /// Delay before a transaction takes effect.
    duration transaction_delay = duration::zero();
    /// Called once before the next transaction takes effect.
    std::function<void()> before_transaction;
    int transactions = 0;
    int scans = 0;
    /// Number of reads that failed.
    int refused = 0;
    /// Number of rows written or deleted.
    int row_writes = 0;

    boost::asio::awaitable<result<std::optional<ports::row>>>
    read(std::string key) override
    {
        if (this->is_down || next_fault(this->read_faults) != call_fault::none)
        {
            ++this->refused;
            co_return make_error(error_kind::unavailable, "down");
        }
        std::optional<ports::row> row;
        if (const auto found = this->rows.find(key); found != this->rows.end())
        {
            row = found->second;
        }
        if (this->after_read)
        {
            std::exchange(this->after_read, nullptr)();
        }
        co_return row;
    }

    boost::asio::awaitable<result<std::vector<ports::row>>>
    scan(std::string prefix, std::string after, std::int64_t limit) override
    {
        if (this->is_down)
        {
            co_return make_error(error_kind::unavailable, "down");
        }
        ++this->scans;
        std::vector<ports::row> found;
        for (const auto& [key, row] : this->rows)
        {
            const bool matches = key.starts_with(prefix) && key > after;
            if (matches && found.size() < static_cast<std::size_t>(limit))
            {
                found.push_back(row);
            }
        }
        co_return found;
    }

    boost::asio::awaitable<result<ports::transaction_outcome>>
    transact(ports::transaction request) override
    {
        ++this->transactions;
        const call_fault fault = this->is_faulty(request)
                                     ? next_fault(this->transaction_faults)
                                     : call_fault::none;
        if (this->transaction_delay > duration::zero())
        {
            boost::asio::steady_timer delay(
                co_await boost::asio::this_coro::executor);
            delay.expires_after(this->transaction_delay);
            co_await delay.async_wait(boost::asio::use_awaitable);
        }
        if (this->before_transaction)
        {
            std::exchange(this->before_transaction, nullptr)();
        }
        if (this->is_down || fault == call_fault::down)
        {
            co_return make_error(error_kind::unavailable, "down");
        }
        if (fault == call_fault::request_lost)
        {
            co_return make_error(error_kind::outcome_unknown, "lost");
        }
        ports::transaction_outcome outcome = this->run(request);
        if (fault == call_fault::response_lost)
        {
            co_return make_error(error_kind::outcome_unknown, "lost");
        }
        co_return outcome;
    }

    static call_fault next_fault(std::deque<call_fault>& faults)
    {
        if (faults.empty())
        {
            return call_fault::none;
        }
        const call_fault next = faults.front();
        faults.pop_front();
        return next;
    }

    /// Runs a transaction immediately and returns its outcome.
    ports::transaction_outcome run(const ports::transaction& request)
    {
        ports::transaction_outcome outcome;
        for (const ports::row_condition& condition : request.conditions)
        {
            const auto found = this->rows.find(condition.key);
            const ports::row row = found == this->rows.end()
                                       ? ports::row{condition.key, "", 0}
                                       : found->second;
            if (row.version != condition.version)
            {
                outcome.conflicts.push_back(row);
            }
        }
        outcome.committed = outcome.conflicts.empty();
        for (const ports::row_write& write : request.writes)
        {
            if (!outcome.committed)
            {
                break;
            }
            ++this->row_writes;
            this->rows.erase(write.key);
            outcome.versions.push_back(write.value ? ++this->version : 0);
            if (write.value)
            {
                this->rows[write.key] = {
                    write.key, *write.value, this->version};
            }
        }
        return outcome;
    }

private:
    bool is_faulty(const ports::transaction& request) const
    {
        for (const ports::row_write& write : request.writes)
        {
            if (write.key.starts_with(this->faulty_prefix))
            {
                return true;
            }
        }
        return this->faulty_prefix.empty();
    }

    std::int64_t version = 0;
};

/// Object store in memory.
class memory_objects final : public ports::object_store
{
public:
    std::map<std::string, std::string> objects;
    std::deque<call_fault> put_faults;
    /// While this is true, every call fails.
    bool is_down = false;

    boost::asio::awaitable<result<void>>
    put(std::string name, std::string bytes) override
    {
        call_fault fault = memory_table::next_fault(this->put_faults);
        if (this->is_down)
        {
            fault = call_fault::down;
        }
        if (fault == call_fault::none || fault == call_fault::response_lost)
        {
            this->objects[name] = std::move(bytes);
        }
        if (fault != call_fault::none)
        {
            co_return make_error(error_kind::outcome_unknown, "lost");
        }
        co_return boost::outcome_v2::success();
    }

    boost::asio::awaitable<result<std::string>> get(std::string name) override
    {
        const auto found = this->objects.find(name);
        if (this->is_down)
        {
            co_return make_error(error_kind::unavailable, "down");
        }
        if (found == this->objects.end())
        {
            co_return make_error(error_kind::not_found, name);
        }
        co_return found->second;
    }
};

template <class T>
boost::asio::awaitable<void>
store_value(boost::asio::awaitable<T> work, std::optional<T>& value)
{
    value.emplace(co_await std::move(work));
}

/// Runs a coroutine to completion and returns its value.
template <class T>
T run_to_end(boost::asio::io_context& context, boost::asio::awaitable<T> work)
{
    std::optional<T> value;
    boost::asio::co_spawn(
        context, store_value(std::move(work), value), boost::asio::detached);
    context.restart();
    context.run();
    return std::move(*value);
}

} // namespace chicory::testing_support

#endif
