#include "servers/control_client/log_explanation.hpp"

#include <gtest/gtest.h>

namespace chicory::control
{

namespace
{

const std::string node_log =
    "2026-12-04T03:45:44.100000Z info 211 request_admitted program=n vm=a "
    "request=r1 route=chat revision=7\n"
    "2026-12-04T03:45:44.110000Z info 200 request_refused program=n vm=a "
    "request=r1 reason=queue_time slot=4 retry_after_ms=800\n"
    "2026-12-04T03:45:44.120000Z info 211 request_admitted program=n vm=a "
    "request=r2 route=chat revision=7\n";

// The clock of the coordinator is one second ahead.
const std::string coordinator_log =
    "  34.2226 b 2026-12-04T03:45:45.105000Z info 217 slot_refused program=n "
    "vm=b service=chat node=a slot=4 waiting=12\n"
    "2026-12-04T03:45:45.106000Z info 217 slot_refused program=n vm=b "
    "service=chat node=c slot=4 waiting=13\n";

TEST(
    log_explanation_test,
    orders_lines_across_clocks_and_reports_the_final_event)
{
    const auto report =
        explain_log("r1", {{"a", node_log}, {"b", coordinator_log}});
    ASSERT_TRUE(report);
    const std::string& text = report.value().text;
    const std::size_t admitted = text.find("request_admitted");
    const std::size_t decided = text.find("slot_refused");
    const std::size_t refused = text.find("request_refused");
    EXPECT_LT(decided, refused) << text;
    EXPECT_NE(admitted, std::string::npos);
    EXPECT_EQ(text.find("waiting=13"), std::string::npos) << text;
    EXPECT_EQ(text.find("r2"), std::string::npos) << text;
    EXPECT_NE(text.find("Ended by request_refused at a"), std::string::npos);
}

TEST(log_explanation_test, parses_quoted_values)
{
    const auto line = parse_log_line(
        "2026-12-04T03:45:44.100000Z warning 201 attempt_failed vm=a "
        "error=\"said \\\"no\\\" twice\" runner=i-1");
    ASSERT_TRUE(line);
    EXPECT_EQ(line.value().event, "attempt_failed");
    ASSERT_EQ(line.value().fields.size(), 3U);
    EXPECT_EQ(line.value().fields[1].second, "said \"no\" twice");
    EXPECT_EQ(line.value().fields[2].second, "i-1");
}

TEST(log_explanation_test, distinguishes_unknown_ids_from_unreadable_files)
{
    EXPECT_EQ(
        explain_log("r9", {{"a", node_log}}).error().kind,
        error_kind::not_found);
    EXPECT_EQ(
        explain_log("r9", {{"a", "no log\n"}}).error().kind,
        error_kind::invalid_input);
    EXPECT_EQ(explain_log("r9", {}).error().kind, error_kind::invalid_input);
}

TEST(log_explanation_test, says_what_a_held_item_waits_for)
{
    const std::string held =
        "2026-12-04T03:45:44.100000Z info 315 item_held program=n vm=a job=j "
        "item=i service=chat reason=exceeds_memory tokens=1500 weights=\"\"\n";
    const std::string placed =
        "2026-12-04T03:45:45.100000Z info 309 item_placed program=n vm=a job=j "
        "item=i runner=i-1 slot=7\n";
    EXPECT_NE(
        explain_log("i", {{"a", held}}).value().text.find("Held: larger"),
        std::string::npos);
    EXPECT_EQ(
        explain_log("i", {{"a", held + placed}}).value().text.find("Held:"),
        std::string::npos);
}

TEST(log_explanation_test, shows_gaps_and_unreadable_lines)
{
    const std::string log =
        node_log + "torn lin\n" +
        "2026-12-04T03:45:44.500000Z info 108 lines_left_out program=n vm=a "
        "event=request_placed count=3\n";
    const auto report = explain_log("r1", {{"a", log}});
    ASSERT_TRUE(report);
    EXPECT_NE(
        report.value().text.find("1 lines could not be read"),
        std::string::npos);
    EXPECT_NE(
        report.value().text.find("Lines may be missing"), std::string::npos);
}

} // namespace

} // namespace chicory::control
