#ifndef CHICORY_TESTS_SUPPORT_MEMORY_RECORDS_HPP
#define CHICORY_TESTS_SUPPORT_MEMORY_RECORDS_HPP

#include "ports/ports.hpp"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace chicory::testing_support
{

/// Record store in memory. It has no feed of changes, so that a watch only
/// reads its snapshot.
class memory_records : public ports::record_store
{
public:
    using row_name = std::tuple<std::string, std::string, std::string>;

    std::map<row_name, ports::record> rows;
    /// Number of further reads that fail.
    int failing_reads = 0;
    /// Clock of the store in milliseconds.
    std::int64_t now_ms = 0;
    int transactions = 0;
    /// Number of calls that read or list.
    int reads = 0;
    /// Number of further transactions that are lost with their responses.
    int lost_transactions = 0;
    /// True if the store refuses writes without the records that stand.
    bool omits_conflicts = false;
    /// Number of further transactions of others before the store forms the
    /// response to one, which states the newest version.
    std::int64_t later_transactions = 0;

    boost::asio::awaitable<result<ports::record_page>>
    read(ports::record_range range) override
    {
        ++this->reads;
        if (this->failing_reads > 0)
        {
            --this->failing_reads;
            co_return make_error(error_kind::timeout, "no response");
        }
        this->has_responded = true;
        ports::record_page page;
        page.version = this->version;
        for (const auto& [name, row] : this->rows)
        {
            const auto& [table, partition, key] = name;
            if (table == range.table && partition == range.partition &&
                key >= range.from && (range.to.empty() || key < range.to))
            {
                page.records.push_back(row);
            }
        }
        co_return page;
    }

    boost::asio::awaitable<result<std::vector<std::string>>>
    list_partitions(std::string table) override
    {
        ++this->reads;
        std::vector<std::string> partitions;
        for (const auto& [name, row] : this->rows)
        {
            if (std::get<0>(name) == table &&
                (partitions.empty() || partitions.back() != std::get<1>(name)))
            {
                partitions.push_back(std::get<1>(name));
            }
        }
        co_return partitions;
    }

    boost::asio::awaitable<result<ports::record_page>>
    follow(std::string, std::int64_t, duration) override
    {
        co_return make_error(error_kind::unavailable, "not supported");
    }

    boost::asio::awaitable<result<ports::record_outcome>>
    transact(ports::record_transaction request) override
    {
        ++this->transactions;
        if (this->lost_transactions > 0)
        {
            --this->lost_transactions;
            co_return make_error(error_kind::outcome_unknown, "no response");
        }
        this->has_responded = true;
        ports::record_outcome outcome;
        outcome.committed = true;
        for (const ports::record_condition& condition : request.conditions)
        {
            const auto found = this->rows.find(
                {condition.table, request.partition, condition.key});
            const std::int64_t current =
                found == this->rows.end() ? 0 : found->second.version;
            outcome.committed =
                outcome.committed && current == condition.version;
            if (found != this->rows.end())
            {
                outcome.conflicts.push_back(found->second);
            }
        }
        if (!outcome.committed)
        {
            if (this->omits_conflicts)
            {
                outcome.conflicts.clear();
            }
            co_return outcome;
        }
        outcome.conflicts.clear();
        ++this->version;
        for (const ports::record_write& write : request.writes)
        {
            const row_name name(write.table, request.partition, write.key);
            this->rows.erase(name);
            if (write.value)
            {
                this->rows[name] = {
                    write.table,
                    request.partition,
                    write.key,
                    *write.value,
                    this->version,
                    false};
            }
        }
        this->version += this->later_transactions;
        outcome.version = this->version;
        co_return outcome;
    }

    std::optional<std::int64_t> clock_ms() const override
    {
        return this->has_responded ? std::optional(this->now_ms) : std::nullopt;
    }

private:
    bool has_responded = false;
    std::int64_t version = 1;
};

} // namespace chicory::testing_support

#endif
