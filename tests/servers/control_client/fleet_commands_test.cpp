#include "servers/control_client/control_client.hpp"
#include "tests/support/memory_platform.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace chicory::control
{

using testing_support::memory_table;

namespace
{

namespace asio = boost::asio;
using listed_vms = std::vector<ports::listed_vm>;

class mock_vm_list : public ports::vm_list
{
public:
    MOCK_METHOD(asio::awaitable<result<listed_vms>>, read, (), (override));
};

asio::awaitable<void> skip_pause(duration)
{
    co_return;
}

asio::awaitable<result<listed_vms>> return_list(result<listed_vms> listed)
{
    co_return listed;
}

asio::awaitable<runner_loads> return_loads(runner_loads known)
{
    co_return known;
}

ports::listed_vm make_vm(std::string id, std::string role, std::string service)
{
    ports::listed_vm vm;
    vm.id = std::move(id);
    vm.role = std::move(role);
    vm.state = "live";
    vm.service = std::move(service);
    return vm;
}

class fleet_commands_test : public testing::Test
{
protected:
    void expect_read(result<listed_vms> listed)
    {
        EXPECT_CALL(this->vms, read())
            .WillOnce(
                [listed]
                {
                    return return_list(listed);
                });
    }

    command_report run(asio::awaitable<command_report> command)
    {
        command_report report;
        asio::co_spawn(
            this->context,
            std::move(command),
            [&](const std::exception_ptr& failure, command_report finished)
            {
                ASSERT_FALSE(failure);
                report = std::move(finished);
            });
        this->context.run();
        return report;
    }

    asio::io_context context{1};
    net::http_client http{this->context.get_executor()};
    memory_table table;
    configuration_store store{this->table, skip_pause};
    testing::StrictMock<mock_vm_list> vms;
    runner_loads loads;
    std::vector<std::string> requested_pools;
    fleet_commands commands{
        this->vms,
        this->store,
        this->http,
        [this](listed_vms, std::vector<std::string> pools)
        {
            this->requested_pools = std::move(pools);
            return return_loads(this->loads);
        }};
};

TEST_F(fleet_commands_test, shows_runners_with_the_pools_of_their_service)
{
    configuration::pool pool;
    pool.name = "night";
    pool.service = "llm";
    ports::transaction request;
    request.writes.push_back(
        {configuration::pool_key(pool.name), configuration::encode_pool(pool)});
    this->table.run(request);
    this->expect_read(listed_vms{
        make_vm("entry-1", "entry", ""),
        make_vm("runner-1", "runner", "llm"),
        make_vm("runner-2", "runner", "other")});

    const command_report report = this->run(this->commands.list_runners());
    const boost::json::array& runners = report.content.at("runners").as_array();
    ASSERT_EQ(runners.size(), 2U);
    EXPECT_EQ(runners.at(0).at("pools").as_string(), "night");
    EXPECT_EQ(runners.at(1).at("pools").as_string(), "");
}

TEST_F(fleet_commands_test, shows_the_load_reported_by_gates_and_runners)
{
    configuration::pool pool;
    pool.name = "night";
    pool.service = "llm";
    ports::transaction request;
    request.writes.push_back(
        {configuration::pool_key(pool.name), configuration::encode_pool(pool)});
    this->table.run(request);
    this->expect_read(listed_vms{
        make_vm("runner-1", "runner", "llm"),
        make_vm("runner-2", "runner", "llm")});
    runner_load& load = this->loads["runner-1"];
    load.owner = "entry-3";
    load.queue = wire::runner_state{};
    load.queue->online_in_progress = 3;
    load.queue->batch_in_progress = 2;
    load.queue->limit = 7;
    load.report = backend::load_report{};
    load.report->in_progress = 4;
    load.report->leaving = true;
    load.report->model = "letters-7b";

    const command_report report = this->run(this->commands.list_runners());
    EXPECT_THAT(this->requested_pools, testing::ElementsAre("night"));
    const boost::json::array& runners = report.content.at("runners").as_array();
    const boost::json::object& known = runners.at(0).as_object();
    EXPECT_EQ(known.at("owner").as_string(), "entry-3");
    EXPECT_EQ(known.at("online_in_progress").as_int64(), 3);
    EXPECT_EQ(known.at("batch_in_progress").as_int64(), 2);
    EXPECT_EQ(known.at("limit").as_int64(), 7);
    EXPECT_EQ(known.at("in_progress").as_int64(), 4);
    EXPECT_EQ(known.at("state").as_string(), "leaving");
    EXPECT_EQ(known.at("model").as_string(), "letters-7b");
    const boost::json::object& unknown = runners.at(1).as_object();
    EXPECT_TRUE(unknown.at("owner").is_null());
    EXPECT_TRUE(unknown.at("in_progress").is_null());
    EXPECT_EQ(unknown.at("state").as_string(), "live");
    EXPECT_NE(report.text.find("letters-7b"), std::string::npos);
}

TEST_F(fleet_commands_test, reports_an_unavailable_vm_list)
{
    this->expect_read(make_error(error_kind::unavailable, "down"));
    EXPECT_EQ(
        this->run(this->commands.list_vms()).exit, client_exit::unavailable);
}

} // namespace

} // namespace chicory::control
