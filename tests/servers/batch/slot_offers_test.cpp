#include "servers/batch/slot_offers.hpp"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace chicory::batch
{

namespace
{

using std::chrono::milliseconds;

class slot_offers_test : public testing::Test
{
protected:
    boost::asio::io_context context;
    dispatching::fleet_cache fleet;
    dispatching::dispatcher owners{context.get_executor(), fleet, "v0"};
    slot_offers offers{fleet, owners, "v0"};
    time_point now{std::chrono::seconds(100)};
    std::uint64_t probe_id = 0;

    slot_offers_test()
    {
        configuration::table_set tables;
        tables.revision = 1;
        tables.pools["p"].name = "p";
        tables.pools["p"].service = "llm";
        this->fleet.update_tables(tables);
        membership::fleet_view view;
        view.version = 1;
        view.vms.resize(2);
        view.vms[0].id = "v0";
        view.vms[0].role = membership::vm_role::entry;
        view.vms[1].id = "r0";
        view.vms[1].role = membership::vm_role::runner;
        view.vms[1].service = "llm";
        this->fleet.update_view(view);
        this->owners.set_local_hook(
            [this](const wire::message& value)
            {
                this->probe_id = std::get<wire::probe>(value).probe_id;
            });
    }

    void send_probe()
    {
        this->offers.probe({"p"}, this->now);
    }

    void send_reply(std::optional<std::int64_t> idle)
    {
        wire::probe_reply reply;
        reply.probe_id = this->probe_id;
        reply.pool = "p";
        if (idle)
        {
            reply.runners.resize(1);
            reply.runners[0].runner = "r0";
            reply.runners[0].idle_batch_slots = *idle;
        }
        this->offers.receive("v0", reply, this->now);
    }

    std::size_t slots()
    {
        std::size_t found = 0;
        for (const idle_runner& runner : this->offers.list(this->now))
        {
            found += runner.slots;
        }
        return found;
    }
};

} // namespace

TEST_F(slot_offers_test, items_sent_after_the_probe_are_subtracted)
{
    this->send_probe();
    this->offers.on_sent("r0");
    this->offers.on_sent("r0");
    this->send_reply(5);
    EXPECT_EQ(this->slots(), 3U);
    this->offers.on_completed("r0", this->now);
    EXPECT_EQ(this->slots(), 4U);
}

TEST_F(slot_offers_test, preempted_runs_do_not_reduce_the_slots_used)
{
    for (int round = 0; round < 8; ++round)
    {
        this->send_probe();
        this->send_reply(4);
        EXPECT_EQ(this->slots(), 4U);
        this->offers.on_sent("r0");
        this->offers.on_preempted("r0");
        EXPECT_EQ(this->slots(), 0U);
    }
}

TEST_F(slot_offers_test, expired_offers_do_not_count)
{
    this->send_probe();
    this->send_reply(5);
    this->now += milliseconds(501);
    EXPECT_EQ(this->slots(), 0U);
}

TEST_F(slot_offers_test, an_unlisted_runner_that_refused_is_avoided)
{
    this->send_probe();
    this->send_reply(std::nullopt);
    EXPECT_EQ(this->slots(), 1U);
    this->offers.on_sent("r0");
    this->offers.on_refused("r0", this->now);
    this->send_probe();
    this->send_reply(std::nullopt);
    EXPECT_EQ(this->slots(), 0U);
    this->now += milliseconds(200);
    this->send_probe();
    this->send_reply(std::nullopt);
    EXPECT_EQ(this->slots(), 1U);
    this->offers.on_sent("r0");
    this->offers.on_refused("r0", this->now);
    this->now += milliseconds(399);
    this->send_probe();
    this->send_reply(std::nullopt);
    EXPECT_EQ(this->slots(), 0U);
}

} // namespace chicory::batch
