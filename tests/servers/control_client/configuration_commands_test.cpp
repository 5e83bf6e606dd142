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

asio::awaitable<void> skip_pause(duration)
{
    co_return;
}

class configuration_commands_test : public testing::Test
{
protected:
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

    command_report
    set(table_kind table,
        const std::string& name,
        std::vector<std::string> assignments,
        std::optional<std::int64_t> expected = std::nullopt)
    {
        row_request request;
        request.table = table;
        request.name = name;
        request.assignments = std::move(assignments);
        request.expected_revision = expected;
        return this->run(this->commands.set(request));
    }

    command_report set_pool(const std::string& name)
    {
        return this->set(table_kind::pool, name, {"service=llm"});
    }

    boost::json::object show_pool(const std::string& name)
    {
        return this->run(this->commands.show(table_kind::pool, name)).content;
    }

    memory_table table;
    int operations = 0;
    configuration_store store{table, skip_pause};
    edit_hook complete_edit = [this](configuration::edit& edit)
    {
        edit.operator_name = "anna";
        edit.operation_id = "op-" + std::to_string(++this->operations);
    };
    configuration_commands commands{store, complete_edit};
    history_commands history{store, complete_edit};
};

TEST_F(configuration_commands_test, creates_changes_and_deletes_rows)
{
    EXPECT_EQ(this->set_pool("llm").text, "committed as revision 1\n");
    const command_report route =
        this->set(table_kind::route, "chat", {"member=kremstal", "pool=llm"});
    EXPECT_EQ(route.text, "committed as revision 2\n");
    this->set(table_kind::pool, "llm", {"harm_weight=95"});
    EXPECT_EQ(this->show_pool("llm").at("harm_weight").as_int64(), 95);
    EXPECT_EQ(this->show_pool("llm").at("service").as_string(), "llm");

    row_request pool;
    pool.table = table_kind::pool;
    pool.name = "llm";
    EXPECT_EQ(
        this->run(this->commands.remove(pool)).exit, client_exit::conflict);
    row_request chat;
    chat.name = "chat";
    EXPECT_EQ(
        this->run(this->commands.remove(chat)).exit, client_exit::success);
    EXPECT_EQ(
        this->run(this->commands.remove(pool)).exit, client_exit::success);
    EXPECT_EQ(
        this->run(this->commands.remove(pool)).exit, client_exit::not_found);
}

TEST_F(configuration_commands_test, rejects_unknown_fields_and_wrong_types)
{
    const command_report unknown =
        this->set(table_kind::pool, "llm", {"colour=blue"});
    EXPECT_EQ(unknown.exit, client_exit::failure);
    EXPECT_NE(unknown.text.find("colour"), std::string::npos);
    const command_report wrong_type =
        this->set(table_kind::pool, "llm", {"service=llm", "harm_weight=high"});
    EXPECT_EQ(wrong_type.exit, client_exit::failure);
    EXPECT_NE(wrong_type.text.find("harm_weight"), std::string::npos);
    EXPECT_TRUE(this->table.rows.empty());
}

TEST_F(configuration_commands_test, shows_both_sides_of_a_conflict)
{
    this->set_pool("llm");
    const std::int64_t seen = this->show_pool("llm").at("revision").as_int64();
    this->set(table_kind::pool, "llm", {"harm_weight=10"});
    const command_report second =
        this->set(table_kind::pool, "llm", {"harm_weight=90"}, seen);
    EXPECT_EQ(second.exit, client_exit::conflict);
    EXPECT_NE(
        second.text.find("harm_weight: yours 90, theirs 10"), std::string::npos)
        << second.text;
    EXPECT_EQ(this->show_pool("llm").at("harm_weight").as_int64(), 10);
}

TEST_F(
    configuration_commands_test, commits_one_of_two_concurrent_edits_of_a_row)
{
    this->set_pool("llm");
    this->table.before_transaction = [this]
    {
        this->set(table_kind::pool, "llm", {"harm_weight=10"});
    };
    const command_report second =
        this->set(table_kind::pool, "llm", {"harm_weight=90"});
    EXPECT_EQ(second.exit, client_exit::conflict) << second.text;
    EXPECT_EQ(this->show_pool("llm").at("harm_weight").as_int64(), 10);
}

TEST_F(configuration_commands_test, commits_both_concurrent_edits_of_two_rows)
{
    this->set_pool("llm");
    this->table.before_transaction = [this]
    {
        this->set_pool("other");
    };
    const command_report second =
        this->set(table_kind::pool, "llm", {"harm_weight=90"});
    EXPECT_EQ(second.text, "committed as revision 3\n");
    EXPECT_EQ(this->show_pool("other").at("service").as_string(), "llm");
}

TEST_F(configuration_commands_test, finds_an_edit_whose_response_was_lost)
{
    this->table.transaction_faults = {call_fault::response_lost};
    EXPECT_EQ(this->set_pool("llm").text, "committed as revision 1\n");
}

TEST_F(configuration_commands_test, reports_a_rejected_edit_as_not_committed)
{
    this->table.transaction_faults = {call_fault::down};
    const command_report refused = this->set_pool("llm");
    EXPECT_EQ(refused.exit, client_exit::unavailable);
    EXPECT_NE(refused.text.find("not committed"), std::string::npos);
    EXPECT_TRUE(this->table.rows.empty());
}

TEST_F(configuration_commands_test, settles_an_edit_of_unknown_outcome)
{
    this->table.transaction_faults = {call_fault::request_lost};
    const command_report lost = this->set_pool("llm");
    EXPECT_EQ(lost.exit, client_exit::outcome_unknown);
    EXPECT_EQ(
        lost.content.at("settle").as_string(),
        "chicoryctl settle op-1 --revision 1");

    const command_report settled = this->run(this->history.settle("op-1", 1));
    EXPECT_EQ(settled.exit, client_exit::conflict);
    EXPECT_EQ(settled.content.at("outcome").as_string(), "not_committed");
}

TEST_F(
    configuration_commands_test,
    settles_an_edit_whose_revision_is_taken_during_the_lookup)
{
    this->table.transaction_faults = {call_fault::request_lost};
    this->set_pool("llm");
    this->table.after_read = [this]()
    {
        this->set_pool("other");
    };
    const command_report settled = this->run(this->history.settle("op-1", 1));
    EXPECT_EQ(settled.content.at("outcome").as_string(), "not_committed");
    EXPECT_EQ(settled.content.at("revision").as_int64(), 1);
}

TEST_F(configuration_commands_test, undoes_an_edit_unless_the_row_has_changed)
{
    this->set_pool("llm");
    this->set(table_kind::pool, "llm", {"harm_weight=10"});
    EXPECT_EQ(
        this->run(this->history.undo(2)).text, "committed as revision 3\n");
    EXPECT_EQ(this->show_pool("llm").at("harm_weight").as_int64(), 80);
    EXPECT_EQ(this->run(this->history.undo(2)).exit, client_exit::conflict);
    EXPECT_EQ(this->run(this->history.undo(9)).exit, client_exit::not_found);
}

TEST_F(configuration_commands_test, lists_the_newest_edits)
{
    for (const std::string name : {"a", "b", "c"})
    {
        this->set_pool(name);
    }
    const command_report report = this->run(this->history.list(2));
    const boost::json::array& entries = report.content.at("entries").as_array();
    ASSERT_EQ(entries.size(), 2U);
    EXPECT_EQ(entries.at(0).as_object().at("key").as_string(), "config/pool/b");
    EXPECT_EQ(entries.at(1).as_object().at("operator").as_string(), "anna");
}

TEST(endpoint, is_parsed_from_text)
{
    EXPECT_EQ(
        parse_endpoint("127.0.0.1:80").value(),
        (net::endpoint{"127.0.0.1", 80}));
    EXPECT_EQ(parse_endpoint("[::1]:80").value(), (net::endpoint{"::1", 80}));
    for (const std::string text :
         {"localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:70000"})
    {
        EXPECT_FALSE(parse_endpoint(text)) << text;
    }
}

TEST(metrics_page, is_parsed)
{
    metrics values;
    values.count_refusal(reason::route_limit);
    const auto read = parse_metrics(values.render());
    EXPECT_EQ(read.at("chicory_refusals_total{reason=\"route_limit\"}"), 1);
}

} // namespace

} // namespace chicory::control
