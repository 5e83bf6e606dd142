#include "servers/control_client/control_client.hpp"
#include "tests/support/memory_records.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

namespace chicory::control
{

namespace
{

namespace asio = boost::asio;

class quarantine_commands_test : public testing::Test
{
protected:
    void put(const std::string& trait, const std::string& value)
    {
        ports::record& row = this->store.rows[{"quarantine", "", trait}];
        row.table = "quarantine";
        row.key = trait;
        row.value = value;
    }

    command_report run(asio::awaitable<command_report> command)
    {
        asio::io_context context(1);
        command_report report;
        asio::co_spawn(
            context,
            std::move(command),
            [&](const std::exception_ptr& failure, command_report finished)
            {
                ASSERT_FALSE(failure);
                report = std::move(finished);
            });
        context.run();
        return report;
    }

    testing_support::memory_records store;
    quarantine_commands commands{this->store};
};

// Guards against operators who cannot see why requests are refused, also by
// records of earlier versions or with a value that is no JSON.
TEST_F(quarantine_commands_test, lists_quarantines_with_their_evidence)
{
    this->store.now_ms = 1000;
    this->put(
        "00000000000003ec",
        R"({"companions":["00000000000003ec"],"count":2,"until_ms":4000,
        "crashes":3,"crashed_runs":"a/7@r1/before_response/20/15"})");
    this->put("00000000000003ed", "no JSON");
    const command_report report = this->run(this->commands.list());
    ASSERT_EQ(report.exit, client_exit::success);
    const boost::json::array& rows =
        report.content.at("quarantines").as_array();
    ASSERT_EQ(rows.size(), 2U);
    EXPECT_EQ(rows.at(0).at("trait").as_string(), "00000000000003ec");
    EXPECT_EQ(rows.at(0).at("time_left_ms").as_int64(), 3000);
    EXPECT_NE(report.text.find("a/7@r1"), std::string::npos);
    EXPECT_EQ(rows.at(1).at("trait").as_string(), "00000000000003ed");
}

TEST_F(quarantine_commands_test, lifts_one_quarantine_by_removing_its_record)
{
    this->put("a1", R"({"until_ms":4000})");
    this->put("a10", R"({"until_ms":4000})");
    EXPECT_EQ(this->run(this->commands.lift("a1")).exit, client_exit::success);
    EXPECT_EQ(
        this->run(this->commands.lift("a1")).exit, client_exit::not_found);
    const command_report left = this->run(this->commands.list());
    EXPECT_EQ(left.content.at("quarantines").as_array().size(), 1U);
}

TEST_F(quarantine_commands_test, reports_a_store_that_does_not_respond)
{
    this->store.failing_reads = 1;
    EXPECT_NE(this->run(this->commands.list()).exit, client_exit::success);
}

} // namespace

} // namespace chicory::control
