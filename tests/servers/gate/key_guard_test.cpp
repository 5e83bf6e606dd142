#include "servers/gate/claim_sweeper.hpp"
#include "servers/gate/key_guard.hpp"
#include "tests/support/memory_platform.hpp"

#include <gtest/gtest.h>

namespace chicory::gate
{

using testing_support::call_fault;
using testing_support::memory_table;
using testing_support::run_to_end;

namespace
{

/// Two gates that use the same table service.
class key_guard_test : public testing::Test
{
protected:
    boost::asio::io_context context;
    memory_table table;
    metrics counters;
    claim_keeper keeper{context.get_executor(), table, counters, true};
    claim_keeper other_keeper{context.get_executor(), table, counters, true};
    identifier_source identifiers;
    online_request request;

    key_guard_test()
    {
        this->request.route.name = "inkasso";
        this->request.idempotency_key = "k";
        this->request.fingerprint = 7;
        this->request.time_left = std::chrono::seconds(30);
    }

    key_guard make_guard(claim_keeper& gate)
    {
        return {gate, this->identifiers, this->request};
    }

    std::optional<key_response> claim(key_guard& guard)
    {
        return run_to_end(
            this->context,
            guard.claim(read_monotonic_clock() + this->request.time_left));
    }

    void record(key_guard& guard, const session_outcome& outcome)
    {
        guard.record(outcome);
        this->context.restart();
        this->context.run();
    }

    reason refusal_of(const std::optional<key_response>& response)
    {
        return std::get<api_error>(response.value()).code;
    }

    static session_outcome make_response_outcome(const std::string& body)
    {
        session_outcome outcome;
        outcome.result = online::request_result::answered;
        outcome.response.status = 200;
        outcome.response.body = body;
        return outcome;
    }

    static session_outcome make_not_run_outcome()
    {
        session_outcome outcome;
        outcome.failure.emplace();
        outcome.failure->not_run = true;
        return outcome;
    }
};

} // namespace

TEST_F(key_guard_test, a_second_request_during_the_first_is_not_run)
{
    key_guard first = this->make_guard(this->keeper);
    EXPECT_FALSE(this->claim(first));
    key_guard second = this->make_guard(this->other_keeper);
    const auto response = this->claim(second);
    ASSERT_TRUE(response);
    EXPECT_EQ(this->refusal_of(response), reason::outcome_unknown);
    EXPECT_FALSE(std::get<api_error>(*response).not_run);
}

TEST_F(key_guard_test, a_second_request_gets_the_recorded_response)
{
    key_guard first = this->make_guard(this->keeper);
    EXPECT_FALSE(this->claim(first));
    this->record(first, make_response_outcome("letter"));
    key_guard second = this->make_guard(this->other_keeper);
    const auto response = this->claim(second);
    ASSERT_TRUE(response);
    const auto& replayed = std::get<net::http_response>(*response);
    EXPECT_EQ(replayed.body, "letter");
    EXPECT_EQ(replayed.headers.at("idempotency-replayed"), "true");
}

TEST_F(key_guard_test, a_key_of_another_request_is_refused)
{
    key_guard first = this->make_guard(this->keeper);
    EXPECT_FALSE(this->claim(first));
    this->request.fingerprint = 8;
    key_guard second = this->make_guard(this->keeper);
    EXPECT_EQ(this->refusal_of(this->claim(second)), reason::key_in_use);
}

TEST_F(key_guard_test, an_unavailable_table_refuses_the_request_as_not_run)
{
    this->table.is_down = true;
    key_guard guard = this->make_guard(this->keeper);
    const auto response = this->claim(guard);
    EXPECT_EQ(this->refusal_of(response), reason::claim_unavailable);
    EXPECT_TRUE(std::get<api_error>(*response).not_run);
    EXPECT_TRUE(this->table.rows.empty());
}

TEST_F(key_guard_test, a_claim_granted_after_the_deadline_is_released)
{
    this->table.transaction_delay = std::chrono::milliseconds(100);
    this->request.time_left = std::chrono::milliseconds(10);
    key_guard first = this->make_guard(this->keeper);
    const auto response = this->claim(first);
    ASSERT_TRUE(response);
    EXPECT_EQ(this->refusal_of(response), reason::deadline_too_short);
    EXPECT_TRUE(std::get<api_error>(*response).not_run);
    // The claim is granted later, and its row records that the request was not
    // run.
    this->context.restart();
    this->context.run();
    EXPECT_EQ(this->table.rows.size(), 1U);
    EXPECT_EQ(this->keeper.in_progress(), 0U);
    this->request.time_left = std::chrono::seconds(30);
    key_guard second = this->make_guard(this->other_keeper);
    EXPECT_FALSE(this->claim(second));
}

TEST_F(key_guard_test, a_claim_whose_response_was_dropped_is_held)
{
    this->table.transaction_faults = {call_fault::response_lost};
    key_guard first = this->make_guard(this->keeper);
    EXPECT_FALSE(this->claim(first));
    EXPECT_EQ(this->table.transactions, 1);
    key_guard second = this->make_guard(this->other_keeper);
    EXPECT_EQ(this->refusal_of(this->claim(second)), reason::outcome_unknown);
}

TEST_F(key_guard_test, a_claim_that_cannot_be_read_back_is_refused)
{
    this->table.transaction_faults = {call_fault::response_lost};
    this->table.read_faults = {call_fault::down};
    key_guard first = this->make_guard(this->keeper);
    EXPECT_EQ(this->refusal_of(this->claim(first)), reason::claim_unavailable);
    key_guard second = this->make_guard(this->other_keeper);
    EXPECT_EQ(this->refusal_of(this->claim(second)), reason::outcome_unknown);
}

TEST_F(key_guard_test, a_request_that_was_not_run_may_be_sent_again)
{
    key_guard first = this->make_guard(this->keeper);
    EXPECT_FALSE(this->claim(first));
    this->record(first, make_not_run_outcome());
    key_guard second = this->make_guard(this->other_keeper);
    EXPECT_FALSE(this->claim(second));
    key_guard third = this->make_guard(this->keeper);
    EXPECT_EQ(this->refusal_of(this->claim(third)), reason::outcome_unknown);
}

TEST_F(key_guard_test, a_row_removed_before_its_replacement_is_claimed)
{
    key_guard first = this->make_guard(this->keeper);
    EXPECT_FALSE(this->claim(first));
    this->record(first, make_not_run_outcome());
    this->table.before_transaction = [this]()
    {
        // The first write conflicts with the old row. The row is removed before
        // the second write, which would replace it.
        this->table.before_transaction = [this]()
        {
            this->table.rows.clear();
        };
    };
    key_guard second = this->make_guard(this->other_keeper);
    EXPECT_FALSE(this->claim(second));
    EXPECT_EQ(this->table.rows.size(), 1U);
}

namespace
{

class claim_sweeper_test : public key_guard_test
{
protected:
    dispatching::fleet_cache fleet;
    online::claim_sweep_settings settings;

    claim_sweeper_test()
    {
        membership::fleet_view view;
        view.version = 1;
        view.vms.resize(1);
        view.vms[0].id = "v0";
        this->fleet.update_view(view);
    }

    claim_sweeper make_sweeper()
    {
        return {
            this->context.get_executor(),
            this->fleet,
            this->table,
            this->counters,
            "v0",
            this->settings};
    }

    /// Reads all key ranges once.
    void sweep(claim_sweeper& sweeper)
    {
        constexpr int key_range_count = 256;
        for (int range = 0; range < key_range_count; ++range)
        {
            boost::asio::co_spawn(
                this->context, sweeper.sweep_page(), boost::asio::detached);
            this->context.restart();
            this->context.run();
        }
    }

    void claim_keys(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            this->request.idempotency_key = "k" + std::to_string(i);
            key_guard guard = this->make_guard(this->keeper);
            EXPECT_FALSE(this->claim(guard));
        }
    }
};

} // namespace

TEST_F(claim_sweeper_test, removes_only_expired_rows)
{
    this->claim_keys(30);
    this->table.rows["batch/jobs/j"] = {"batch/jobs/j", "", 1};
    claim_sweeper before_expiry = this->make_sweeper();
    this->sweep(before_expiry);
    EXPECT_EQ(this->table.rows.size(), 31U);
    this->settings.lifetime = duration::zero();
    claim_sweeper after_expiry = this->make_sweeper();
    this->sweep(after_expiry);
    EXPECT_EQ(this->table.rows.size(), 1U);
    // The key of a removed row can be claimed again.
    this->claim_keys(1);
}

TEST_F(claim_sweeper_test, rows_left_by_an_outage_are_removed_later)
{
    this->claim_keys(5);
    this->settings.lifetime = duration::zero();
    claim_sweeper sweeper = this->make_sweeper();
    this->table.is_down = true;
    this->sweep(sweeper);
    EXPECT_EQ(this->table.rows.size(), 5U);
    this->table.is_down = false;
    this->table.transaction_faults = {
        call_fault::down, call_fault::response_lost, call_fault::request_lost};
    this->sweep(sweeper);
    this->sweep(sweeper);
    EXPECT_TRUE(this->table.rows.empty());
}

TEST_F(claim_sweeper_test, a_row_claimed_again_before_its_removal_is_kept)
{
    this->claim_keys(1);
    this->settings.lifetime = duration::zero();
    claim_sweeper sweeper = this->make_sweeper();
    this->table.before_transaction = [this]()
    {
        // Another sweep removed the row and a caller used the key again.
        ports::row& row = this->table.rows.begin()->second;
        row.version += 100;
    };
    this->sweep(sweeper);
    EXPECT_EQ(this->table.rows.size(), 1U);
}

} // namespace chicory::gate
