#include "servers/batch/job_table.hpp"
#include "servers/batch/result_reader.hpp"
#include "tests/support/memory_platform.hpp"

#include <gtest/gtest.h>

namespace chicory::batch
{

using testing_support::call_fault;
using testing_support::memory_table;
using testing_support::run_to_end;

namespace
{

class job_table_test : public testing::Test
{
protected:
    boost::asio::io_context context;
    memory_table service;
    metrics counters;
    job_table table{context.get_executor(), service, counters};

    static write_plan
    make_plan(std::int64_t expected, const std::string& operation)
    {
        write_plan plan;
        plan.replace(
            "row", expected, "{\"operation_id\":\"" + operation + "\"}");
        return plan;
    }

    result<resolved_write>
    write(std::int64_t expected, const std::string& operation, duration limit)
    {
        return run_to_end(
            this->context,
            this->table.write(
                make_plan(expected, operation), "row", operation, limit));
    }
};

constexpr std::chrono::seconds limit(5);

} // namespace

TEST_F(job_table_test, a_dropped_response_is_resolved_by_reading_back)
{
    this->service.transaction_faults = {call_fault::response_lost};
    const result<resolved_write> written = this->write(0, "a", limit);
    ASSERT_TRUE(written);
    EXPECT_TRUE(written.value().took_effect);
    EXPECT_EQ(written.value().version, this->service.rows["row"].version);
    EXPECT_EQ(this->service.transactions, 1);
}

TEST_F(job_table_test, a_dropped_request_is_sent_again)
{
    this->service.transaction_faults = {call_fault::request_lost};
    const result<resolved_write> written = this->write(0, "a", limit);
    ASSERT_TRUE(written);
    EXPECT_TRUE(written.value().took_effect);
    EXPECT_EQ(this->service.transactions, 2);
}

TEST_F(job_table_test, a_concurrent_writer_is_reported)
{
    ASSERT_TRUE(this->write(0, "other", limit));
    this->service.transaction_faults = {call_fault::request_lost};
    const result<resolved_write> written = this->write(0, "a", limit);
    ASSERT_TRUE(written);
    EXPECT_FALSE(written.value().took_effect);
}

TEST_F(job_table_test, an_outage_before_the_write_has_a_certain_outcome)
{
    this->service.transaction_faults = {call_fault::down};
    const result<resolved_write> written = this->write(0, "a", limit);
    ASSERT_FALSE(written);
    EXPECT_EQ(written.error().kind, error_kind::unavailable);
}

TEST_F(job_table_test, an_outage_after_a_dropped_response_stays_unknown)
{
    this->service.transaction_faults = {
        call_fault::response_lost, call_fault::down};
    this->service.read_faults.assign(8, call_fault::down);
    const result<resolved_write> written =
        this->write(0, "a", std::chrono::milliseconds(1));
    ASSERT_FALSE(written);
    EXPECT_EQ(written.error().kind, error_kind::outcome_unknown);
}

TEST_F(job_table_test, a_failed_read_is_retried)
{
    this->service.read_faults = {call_fault::down};
    const result<found_row> row =
        run_to_end(this->context, this->table.read("row"));
    ASSERT_TRUE(row);
    EXPECT_EQ(row.value().version, 0);
}

TEST(result_reader, stragglers_are_merged_in_input_order)
{
    const auto make = [](std::uint64_t index, item_state state)
    {
        item_record item;
        item.index = index;
        item.custom_id = "i" + std::to_string(index);
        item.state = state;
        item.status = state == item_state::completed ? 200 : 0;
        item.body = "{\"a\":1}";
        item.reason = state == item_state::completed ? "" : "broke";
        return encode(item) + "\n";
    };
    const auto merged = merge_results(
        {make(0, item_state::completed) + make(2, item_state::completed),
         make(1, item_state::failed)});
    ASSERT_TRUE(merged);
    EXPECT_EQ(
        merged.value(),
        R"({"custom_id":"i0","index":0,"state":"completed","attempts":0,)"
        R"("response":{"status_code":200,"body":{"a":1}}})"
        "\n"
        R"({"custom_id":"i1","index":1,"state":"failed","attempts":0,)"
        R"("error":{"code":"failed","message":"broke"}})"
        "\n"
        R"({"custom_id":"i2","index":2,"state":"completed","attempts":0,)"
        R"("response":{"status_code":200,"body":{"a":1}}})"
        "\n");
}

} // namespace chicory::batch
