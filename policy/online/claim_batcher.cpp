#include "policy/online/claim_batcher.hpp"

#include <algorithm>
#include <set>

namespace chicory::online
{

std::string
make_claim_value(const std::string& operation, const std::string& outcome)
{
    return operation + "\n" + outcome;
}

std::string claim_operation(const std::string& value)
{
    return value.substr(0, value.find('\n'));
}

std::string claim_outcome(const std::string& value)
{
    const std::size_t end = value.find('\n');
    return end == std::string::npos ? std::string() : value.substr(end + 1);
}

claim_actions claim_batcher::claim(
    const std::string& key, const std::string& operation, std::int64_t version)
{
    entry new_claim;
    new_claim.key = key;
    new_claim.operation = operation;
    new_claim.value = make_claim_value(operation, "");
    new_claim.version = version;
    this->pending.push_back(std::move(new_claim));
    claim_actions actions;
    this->write_next(actions);
    return actions;
}

claim_actions claim_batcher::record(
    const std::string& key,
    const std::string& operation,
    std::int64_t version,
    const std::string& outcome)
{
    entry new_record;
    new_record.key = key;
    new_record.operation = operation;
    new_record.value = make_claim_value(operation, outcome);
    new_record.version = version;
    new_record.is_record = true;
    this->pending.push_back(std::move(new_record));
    claim_actions actions;
    this->write_next(actions);
    return actions;
}

claim_actions claim_batcher::committed(
    std::uint64_t reported_batch, const std::vector<std::int64_t>& versions)
{
    claim_actions actions;
    if (reported_batch != this->batch ||
        versions.size() != this->in_flight.size())
    {
        return actions;
    }
    for (std::size_t i = 0; i < versions.size(); ++i)
    {
        const entry& written = this->in_flight[i];
        if (!written.is_record)
        {
            actions.emplace_back(claim_granted{written.operation, versions[i]});
        }
    }
    this->in_flight.clear();
    this->write_next(actions);
    return actions;
}

claim_actions claim_batcher::conflicted(
    std::uint64_t reported_batch, const std::vector<claim_row>& rows)
{
    claim_actions actions;
    if (reported_batch != this->batch)
    {
        return actions;
    }
    this->resolve_rows(rows, actions);
    return actions;
}

claim_actions claim_batcher::read_back(
    std::uint64_t reported_batch, const std::vector<claim_row>& rows)
{
    return this->conflicted(reported_batch, rows);
}

void claim_batcher::resolve_rows(
    const std::vector<claim_row>& rows, claim_actions& actions)
{
    std::vector<entry> to_retry;
    for (entry& written : this->in_flight)
    {
        const auto found =
            std::ranges::find(rows, written.key, &claim_row::key);
        const bool unchanged =
            found == rows.end() || found->version == written.version;
        if (!unchanged)
        {
            this->resolve(written, *found, actions);
            continue;
        }
        to_retry.push_back(std::move(written));
    }
    this->in_flight.clear();
    this->pending.insert(
        this->pending.begin(), to_retry.begin(), to_retry.end());
    this->write_next(actions);
}

void claim_batcher::resolve(
    const entry& written, const claim_row& row, claim_actions& actions)
{
    if (written.is_record)
    {
        return;
    }
    if (claim_operation(row.value) == written.operation)
    {
        actions.emplace_back(claim_granted{written.operation, row.version});
        return;
    }
    actions.emplace_back(
        claim_taken_by_other{written.operation, row.value, row.version});
}

claim_actions claim_batcher::failed(std::uint64_t reported_batch)
{
    claim_actions actions;
    if (reported_batch != this->batch)
    {
        return actions;
    }
    for (const entry& written : this->in_flight)
    {
        if (!written.is_record)
        {
            actions.emplace_back(claim_failed{written.operation});
        }
    }
    this->in_flight.clear();
    this->write_next(actions);
    return actions;
}

claim_actions claim_batcher::unknown(std::uint64_t reported_batch)
{
    claim_actions actions;
    if (reported_batch != this->batch || this->in_flight.empty())
    {
        return actions;
    }
    read_claims request;
    request.batch = this->batch;
    for (const entry& written : this->in_flight)
    {
        request.keys.push_back(written.key);
    }
    actions.emplace_back(std::move(request));
    return actions;
}

void claim_batcher::fail_exhausted(claim_actions& actions)
{
    const auto exhausted = [&actions](const entry& candidate)
    {
        if (candidate.attempts < max_attempts)
        {
            return false;
        }
        if (!candidate.is_record)
        {
            actions.emplace_back(claim_failed{candidate.operation});
        }
        return true;
    };
    std::erase_if(this->pending, exhausted);
}

void claim_batcher::write_next(claim_actions& actions)
{
    if (!this->in_flight.empty())
    {
        return;
    }
    this->fail_exhausted(actions);
    std::set<std::string> keys;
    std::deque<entry> remaining;
    write_claims transaction;
    for (entry& next : this->pending)
    {
        // A transaction contains a key only once; further writes of the key
        // wait for its outcome.
        const bool full = this->in_flight.size() >= max_batch_size;
        if (full || !keys.insert(next.key).second)
        {
            remaining.push_back(std::move(next));
            continue;
        }
        next.attempts += 1;
        transaction.writes.push_back({next.key, next.value, next.version});
        this->in_flight.push_back(std::move(next));
    }
    this->pending = std::move(remaining);
    if (this->in_flight.empty())
    {
        return;
    }
    this->batch += 1;
    transaction.batch = this->batch;
    actions.emplace_back(std::move(transaction));
}

std::size_t claim_batcher::size() const
{
    return this->pending.size() + this->in_flight.size();
}

} // namespace chicory::online
