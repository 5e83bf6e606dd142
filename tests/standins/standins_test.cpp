#include "tests/standins/fault_plan.hpp"
#include "tests/standins/generated_response.hpp"
#include "tests/standins/lagging_value.hpp"
#include "tests/standins/table_store.hpp"
#include "tests/standins/write_limit.hpp"

#include <gtest/gtest.h>

namespace chicory::standin
{

namespace json = boost::json;

TEST(table_store, rejects_a_transaction_whose_condition_fails)
{
    table_store table;
    const json::value create = json::parse(
        R"({"conditions":[{"key":"a","version":0}],
            "writes":[{"key":"a","value":"1"}]})");
    EXPECT_TRUE(table.transact(create).at("committed").as_bool());
    const json::object second = table.transact(create);
    EXPECT_FALSE(second.at("committed").as_bool());
    EXPECT_EQ(second.at("conflicts").as_array().size(), 1U);
}

TEST(table_store, gives_a_rewritten_row_a_new_version)
{
    table_store table;
    table.transact(json::parse(R"({"writes":[{"key":"a","value":"1"}]})"));
    const json::value key = json::parse(R"({"key":"a"})");
    const json::value first = table.read(key);
    table.transact(json::parse(R"({"writes":[{"key":"a","value":null}]})"));
    EXPECT_TRUE(table.read(key).is_null());
    table.transact(json::parse(R"({"writes":[{"key":"a","value":"1"}]})"));
    EXPECT_NE(table.read(key).at("version"), first.at("version"));
}

TEST(table_store, scans_in_pages)
{
    table_store table;
    table.transact(json::parse(
        R"({"writes":[{"key":"a/1","value":"1"},{"key":"a/2","value":"2"},
                      {"key":"b/1","value":"3"}]})"));
    const json::object page =
        table.scan(json::parse(R"({"prefix":"a/","after":"a/1","limit":9})"));
    ASSERT_EQ(page.at("rows").as_array().size(), 1U);
    EXPECT_EQ(page.at("rows").as_array()[0].at("key").as_string(), "a/2");
}

TEST(fault_plan, counts_only_calls_that_match)
{
    fault_plan plan(1);
    plan.set(json::parse(
        R"({"service":"table","mode":"down","count":1,"match":"job"})"));
    EXPECT_EQ(plan.next_fault("table", "lease").mode, fault_mode::up);
    EXPECT_EQ(plan.next_fault("object", "job").mode, fault_mode::up);
    EXPECT_EQ(plan.next_fault("table", "job").mode, fault_mode::down);
    EXPECT_EQ(plan.next_fault("table", "job").mode, fault_mode::up);
}

TEST(write_limit, delays_a_transaction_after_earlier_ones)
{
    write_limit limit;
    limit.set(json::parse(
        R"({"transactions_per_s":100,"rows_per_s":50,"backlog_ms":30})"));
    const time_point now;
    EXPECT_EQ(limit.reserve(1, now), std::chrono::milliseconds(20));
    EXPECT_EQ(limit.reserve(1, now), std::chrono::milliseconds(40));
    EXPECT_EQ(limit.reserve(1, now), std::nullopt);
    const time_point later = now + std::chrono::seconds(1);
    EXPECT_EQ(limit.reserve(2, later), std::chrono::milliseconds(40));
}

TEST(lagging_value, returns_a_value_after_the_lag)
{
    lagging_value<int> value(1);
    value.set_lag(std::chrono::seconds(2));
    const time_point start{};
    value.set(start, 2);
    EXPECT_EQ(value.get(start + std::chrono::seconds(1)), 1);
    EXPECT_EQ(value.get(start + std::chrono::seconds(2)), 2);
}

TEST(generated_response, depends_only_on_the_body)
{
    const std::string body = R"({"max_tokens":2,"stream":true})";
    const generated_response first("/v1/completions", body);
    EXPECT_EQ(
        first.all_bytes(),
        generated_response("/v1/completions", body).all_bytes());
    EXPECT_NE(
        first.all_bytes(),
        generated_response("/v1/completions", body + " ").all_bytes());
    EXPECT_TRUE(first.all_bytes().ends_with("data: [DONE]\n\n"));
}

} // namespace chicory::standin
