#include "servers/control/control.hpp"
#include "tests/support/memory_platform.hpp"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace chicory::control
{

using testing_support::memory_table;
namespace
{

constexpr std::chrono::seconds condition_limit(30);

/// Table service in memory that can be made unavailable.
class failing_table final : public ports::table_service
{
public:
    explicit failing_table(memory_table& initial_table) : table(initial_table)
    {
    }

    boost::asio::awaitable<result<std::optional<ports::row>>>
    read(std::string key) override
    {
        ++this->reads;
        if (this->is_unavailable)
        {
            co_return make_error(error_kind::unavailable, "down");
        }
        co_return co_await this->table.read(std::move(key));
    }

    boost::asio::awaitable<result<std::vector<ports::row>>>
    scan(std::string prefix, std::string after, std::int64_t limit) override
    {
        ++this->reads;
        if (this->is_unavailable)
        {
            co_return make_error(error_kind::unavailable, "down");
        }
        co_return co_await this->table.scan(
            std::move(prefix), std::move(after), limit);
    }

    boost::asio::awaitable<result<ports::transaction_outcome>>
    transact(ports::transaction request) override
    {
        co_return co_await this->table.transact(std::move(request));
    }

    bool is_unavailable = false;
    int reads = 0;

private:
    memory_table& table;
};

/// Configuration watch of one control process with its own connection to the
/// table service.
struct watching_node
{
    failing_table table;
    membership::gossip members;
    configuration_watch watch;
    std::vector<std::int64_t> adopted;

    watching_node(
        boost::asio::io_context& io,
        net::http_client& client,
        memory_table& rows,
        const std::string& name)
        : table(rows), members({}, make_vm(name, 0), 1, read_monotonic_clock()),
          watch(
              io,
              client,
              this->table,
              {[this]() -> const membership::gossip&
               {
                   return this->members;
               },
               [this](const configuration::table_set& tables)
               {
                   this->adopted.push_back(tables.revision);
               },
               []()
               {
                   return std::string();
               }},
              1)
    {
    }

    static membership::vm make_vm(const std::string& name, std::uint16_t port)
    {
        membership::vm details;
        details.id = name;
        details.incarnation = 1;
        details.address = "127.0.0.1";
        details.gossip_port = port;
        return details;
    }

    void start()
    {
        ASSERT_TRUE(this->watch.start({"127.0.0.1", 0}).has_value());
    }

    /// Adds a peer and its revision to the membership state.
    void add_peer(const watching_node& peer)
    {
        const std::string& name = peer.members.self();
        const membership::vm details = make_vm(name, peer.watch.port());
        const time_point now = read_monotonic_clock();
        this->members.on_update(now, {name, {1, 0, {}}, details});
        membership::gossip_message message;
        message.kind = membership::gossip_kind::updates;
        message.sender = name;
        message.revision = peer.revision();
        this->members.on_message(now, message);
    }

    std::int64_t revision() const
    {
        return this->watch.state().current().revision;
    }
};

class configuration_watch_test : public testing::Test
{
protected:
    void edit(const std::string& name)
    {
        configuration::pool pool;
        pool.name = name;
        pool.service = "engines";
        const configuration::edit edit = {
            configuration::pool_change{name, pool}, 0, "ana", "op-" + name, 0};
        const configuration::edit_plan plan =
            configuration::plan_edit(edit, this->tables, this->revision)
                .value();
        ports::transaction request;
        for (const configuration::planned_condition& condition :
             plan.conditions)
        {
            request.conditions.push_back({condition.key, condition.version});
        }
        for (const configuration::planned_write& write : plan.writes)
        {
            request.writes.push_back({write.key, write.value});
        }
        ASSERT_TRUE(this->rows.run(request).committed);
        const ports::row row = this->rows.rows.at("config/revision");
        this->revision =
            configuration::decode_revision(row.value, row.version).value();
        this->tables.revision = this->revision.revision;
        this->tables.pools.emplace(name, pool);
    }

    bool run_until(const std::function<bool()>& condition)
    {
        const time_point deadline = read_monotonic_clock() + condition_limit;
        while (!condition() && read_monotonic_clock() < deadline)
        {
            this->io.run_for(std::chrono::milliseconds(10));
        }
        return condition();
    }

    boost::asio::io_context io;
    net::http_client client{io.get_executor()};
    memory_table rows;
    configuration::table_set tables;
    configuration::revision_row revision;
};

TEST_F(configuration_watch_test, reads_all_rows_at_start_and_changes_later)
{
    this->edit("first");
    watching_node node(this->io, this->client, this->rows, "a");
    node.start();
    ASSERT_TRUE(this->run_until(
        [&]()
        {
            return node.revision() == 1;
        }));
    this->edit("second");
    this->edit("third");
    ASSERT_TRUE(this->run_until(
        [&]()
        {
            return node.revision() == 3;
        }));
    EXPECT_EQ(node.watch.state().current().pools.size(), 3U);
    EXPECT_TRUE(node.watch.state().changes_after(1).has_value());
}

TEST_F(configuration_watch_test, follows_a_peer_while_the_table_is_unavailable)
{
    this->edit("first");
    watching_node source(this->io, this->client, this->rows, "a");
    watching_node node(this->io, this->client, this->rows, "b");
    source.start();
    node.start();
    ASSERT_TRUE(this->run_until(
        [&]()
        {
            return node.revision() == 1;
        }));
    node.table.is_unavailable = true;
    this->edit("second");
    ASSERT_TRUE(this->run_until(
        [&]()
        {
            return source.revision() == 2;
        }));
    node.add_peer(source);
    ASSERT_TRUE(this->run_until(
        [&]()
        {
            return node.revision() == 2;
        }));
    EXPECT_EQ(node.watch.state().current().pools.size(), 2U);
}

TEST_F(configuration_watch_test, starts_from_the_peer_with_the_highest_revision)
{
    this->edit("first");
    watching_node old_peer(this->io, this->client, this->rows, "a");
    old_peer.start();
    ASSERT_TRUE(this->run_until(
        [&]()
        {
            return old_peer.revision() == 1;
        }));
    old_peer.table.is_unavailable = true;
    this->edit("second");
    watching_node new_peer(this->io, this->client, this->rows, "b");
    new_peer.start();
    ASSERT_TRUE(this->run_until(
        [&]()
        {
            return new_peer.revision() == 2;
        }));
    watching_node node(this->io, this->client, this->rows, "c");
    node.table.is_unavailable = true;
    node.add_peer(old_peer);
    node.add_peer(new_peer);
    node.start();
    ASSERT_TRUE(this->run_until(
        [&]()
        {
            return node.revision() == 2;
        }));
    const std::vector<std::int64_t> only_newest = {2};
    EXPECT_EQ(node.adopted, only_newest);
}

TEST_F(configuration_watch_test, reads_the_table_when_a_peer_does_not_respond)
{
    this->edit("first");
    watching_node node(this->io, this->client, this->rows, "a");
    node.start();
    ASSERT_TRUE(this->run_until(
        [&]()
        {
            return node.revision() == 1;
        }));
    this->edit("second");
    membership::gossip_message message;
    message.kind = membership::gossip_kind::updates;
    message.sender = "unknown";
    message.revision = 2;
    node.members.on_message(read_monotonic_clock(), message);
    EXPECT_TRUE(this->run_until(
        [&]()
        {
            return node.revision() == 2;
        }));
}

TEST_F(configuration_watch_test, adopts_nothing_without_table_and_peers)
{
    this->edit("first");
    watching_node node(this->io, this->client, this->rows, "a");
    node.table.is_unavailable = true;
    node.start();
    ASSERT_TRUE(this->run_until(
        [&]()
        {
            return node.table.reads > 2;
        }));
    EXPECT_EQ(node.revision(), 0);
    node.table.is_unavailable = false;
    EXPECT_TRUE(this->run_until(
        [&]()
        {
            return node.revision() == 1;
        }));
}

} // namespace
} // namespace chicory::control
