#include "policy/configuration/configuration.hpp"

#include <gtest/gtest.h>

namespace chicory::configuration
{
namespace
{

table_set make_tables()
{
    table_set tables;
    tables.revision = 6;
    pool engines;
    engines.name = "inkasso";
    engines.service = "inkasso-llm";
    engines.revision = 2;
    tables.pools.emplace("inkasso", engines);
    route letters;
    letters.name = "letters";
    letters.member = "kremstal";
    letters.pool = "inkasso";
    letters.revision = 3;
    tables.routes.emplace("letters", letters);
    return tables;
}

revision_row make_revision()
{
    return {6, "op-6", 60};
}

edit make_route_edit(std::int64_t limit)
{
    route letters = make_tables().routes.at("letters");
    letters.max_in_progress = limit;
    return {route_change{"letters", letters}, 3, "ana", "op-7", 1000};
}

history_entry decode_history_write(const edit_plan& plan)
{
    return decode_history(plan.writes.back().value.value()).value();
}

TEST(validation, error_names_the_field_that_breaks_a_rule)
{
    table_set tables = make_tables();
    tables.routes.at("letters").pool = "assist";
    const result<void> checked = validate(tables);
    ASSERT_FALSE(checked.has_value());
    EXPECT_EQ(
        checked.error().text,
        "row config/route/letters, field pool: expected the name of a pool in "
        "the configuration, found \"assist\"");
    tables = make_tables();
    tables.pools.at("inkasso").harm_weight = 101;
    EXPECT_FALSE(validate(tables).has_value());
    tables = make_tables();
    tables.routes.at("letters").key_digests = {"short"};
    EXPECT_FALSE(validate(tables).has_value());
}

TEST(edit_plan, adds_conditions_on_row_revision_and_history)
{
    const result<edit_plan> plan =
        plan_edit(make_route_edit(5), make_tables(), make_revision());
    ASSERT_TRUE(plan.has_value()) << plan.error().text;
    EXPECT_EQ(plan.value().revision, 7);
    const std::vector<planned_condition> expected = {
        {"config/route/letters", 3},
        {"config/revision", 60},
        {"config/history/000000000007", 0}};
    EXPECT_EQ(plan.value().conditions, expected);
    const history_entry entry = decode_history_write(plan.value());
    EXPECT_EQ(entry.operator_name, "ana");
    EXPECT_EQ(entry.operation_id, "op-7");
    EXPECT_NE(entry.before, entry.after);
}

TEST(edit_plan, conflict_shows_both_contents)
{
    table_set tables = make_tables();
    tables.routes.at("letters").max_in_progress = 9;
    tables.routes.at("letters").revision = 4;
    const result<edit_plan> plan =
        plan_edit(make_route_edit(5), tables, make_revision());
    ASSERT_FALSE(plan.has_value());
    EXPECT_EQ(plan.error().kind, error_kind::conflict);
    EXPECT_NE(
        plan.error().text.find("max_in_progress: yours 5, theirs 9"),
        std::string::npos);
}

TEST(edit_plan, refuses_to_delete_a_pool_that_a_route_uses)
{
    const edit requested = {pool_change{"inkasso", {}}, 2, "ana", "op-7", 0};
    const result<edit_plan> plan =
        plan_edit(requested, make_tables(), make_revision());
    ASSERT_FALSE(plan.has_value());
    EXPECT_EQ(plan.error().kind, error_kind::conflict);
    EXPECT_NE(plan.error().text.find("letters"), std::string::npos);
}

TEST(edit_plan, refuses_to_plan_on_tables_of_another_revision)
{
    const revision_row newer = {7, "op-x", 61};
    EXPECT_FALSE(
        plan_edit(make_route_edit(5), make_tables(), newer).has_value());
}

TEST(history, resolves_an_edit_by_its_operation_id)
{
    history_entry entry;
    entry.operation_id = "op-7";
    EXPECT_EQ(resolve_edit("op-7", entry), edit_outcome::committed);
    EXPECT_EQ(resolve_edit("op-8", entry), edit_outcome::not_committed);
    EXPECT_EQ(resolve_edit("op-7", std::nullopt), edit_outcome::unknown);
    EXPECT_EQ(
        make_settle_command("op-7", 7), "chicoryctl settle op-7 --revision 7");
}

TEST(history, barrier_prevents_a_delayed_edit_from_committing)
{
    const edit barrier = {barrier_change(), 0, "ana", "op-8", 0};
    const result<edit_plan> plan =
        plan_edit(barrier, make_tables(), make_revision());
    ASSERT_TRUE(plan.has_value());
    EXPECT_EQ(plan.value().conditions.back().key, history_key(7));
    const history_entry entry = decode_history_write(plan.value());
    EXPECT_EQ(resolve_edit("op-7", entry), edit_outcome::not_committed);
    const table_set after = apply_history(make_tables(), entry).value();
    EXPECT_EQ(after.revision, 7);
    EXPECT_EQ(after.routes.size(), 1U);
}

TEST(history, undo_is_a_new_edit_that_restores_the_row)
{
    const edit_plan plan =
        plan_edit(make_route_edit(5), make_tables(), make_revision()).value();
    const history_entry entry = decode_history_write(plan);
    const table_set changed = apply_history(make_tables(), entry).value();
    EXPECT_EQ(changed.routes.at("letters").max_in_progress, 5);
    const edit undo = plan_undo(entry, changed).value();
    EXPECT_EQ(
        content_after(undo.row_change),
        find_content(undo.row_change, make_tables()));
    EXPECT_FALSE(plan_undo(entry, make_tables()).has_value());
}

TEST(history, refuses_an_entry_that_does_not_follow_the_tables)
{
    const edit_plan plan =
        plan_edit(make_route_edit(5), make_tables(), make_revision()).value();
    history_entry entry = decode_history_write(plan);
    entry.revision = 8;
    EXPECT_FALSE(apply_history(make_tables(), entry).has_value());
    entry.revision = 7;
    entry.before = std::nullopt;
    EXPECT_FALSE(apply_history(make_tables(), entry).has_value());
}

} // namespace
} // namespace chicory::configuration
