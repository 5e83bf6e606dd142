#include "servers/control_client/control_client.hpp"
#include "tests/support/memory_platform.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <gtest/gtest.h>

namespace chicory::control
{

using testing_support::call_fault;
using testing_support::memory_table;

namespace
{

namespace asio = boost::asio;

class job_commands_test : public testing::Test
{
protected:
    void SetUp() override
    {
        batch::job_record job;
        job.id = "job-1";
        job.member = "kremstal";
        job.state = batch::job_state::running;
        ports::transaction request;
        request.writes.push_back(
            {batch::job_row_key(job.id), batch::encode(job)});
        request.writes.push_back({batch::open_row_key(job.id), "{}"});
        this->table.run(request);
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

    std::size_t count_jobs(bool all)
    {
        const command_report report = this->run(this->commands.list(all));
        return report.content.at("jobs").as_array().size();
    }

    memory_table table;
    job_commands commands{
        table,
        std::string(CHICORY_SOURCE_DIR) + "/charts",
        []
        {
            return std::string("op-1");
        },
        []
        {
            return std::int64_t{5};
        }};
};

TEST_F(job_commands_test, cancels_a_job_once)
{
    EXPECT_EQ(this->count_jobs(false), 1U);
    const command_report report = this->run(this->commands.cancel("job-1"));
    EXPECT_EQ(report.exit, client_exit::success) << report.text;
    EXPECT_EQ(report.content.at("state").as_string(), "cancelled");
    EXPECT_FALSE(this->table.rows.contains(batch::open_row_key("job-1")));
    EXPECT_EQ(this->count_jobs(false), 0U);
    EXPECT_EQ(this->count_jobs(true), 1U);
    EXPECT_EQ(
        this->run(this->commands.cancel("job-1")).exit, client_exit::success);
}

TEST_F(job_commands_test, finds_a_cancellation_whose_response_was_lost)
{
    this->table.transaction_faults = {call_fault::response_lost};
    const command_report report = this->run(this->commands.cancel("job-1"));
    EXPECT_EQ(report.exit, client_exit::success) << report.text;
}

TEST_F(job_commands_test, reports_an_unknown_job)
{
    EXPECT_EQ(
        this->run(this->commands.show("job-2")).exit, client_exit::not_found);
    EXPECT_EQ(
        this->run(this->commands.cancel("job-2")).exit, client_exit::not_found);
}

} // namespace

} // namespace chicory::control
