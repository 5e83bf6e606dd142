#include "policy/online/online.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <optional>
#include <set>

namespace chicory::online
{

namespace
{

template <class Action>
std::vector<Action> select_actions(const claim_actions& actions)
{
    std::vector<Action> selected;
    for (const claim_action& action : actions)
    {
        if (const Action* const match = std::get_if<Action>(&action))
        {
            selected.push_back(*match);
        }
    }
    return selected;
}

/// A table in memory that detects version conflicts.
struct memory_table
{
    std::map<std::string, claim_row> rows;
    std::int64_t next_version = 1;

    std::vector<claim_row> find_conflicts(const write_claims& order) const
    {
        std::vector<claim_row> conflicts;
        for (const claim_write& write : order.writes)
        {
            const auto found = this->rows.find(write.key);
            const claim_row row = found == this->rows.end()
                                      ? claim_row{write.key, "", 0}
                                      : found->second;
            if (row.version != write.version)
            {
                conflicts.push_back(row);
            }
        }
        return conflicts;
    }

    std::vector<std::int64_t> apply(const write_claims& order)
    {
        std::vector<std::int64_t> versions;
        for (const claim_write& write : order.writes)
        {
            this->rows[write.key] = {
                write.key, write.value, this->next_version};
            versions.push_back(this->next_version++);
        }
        return versions;
    }
};

} // namespace

TEST(claim_batcher, claims_are_collected_while_a_transaction_is_in_flight)
{
    claim_batcher claims;
    const claim_actions first = claims.claim("k1", "op1");
    ASSERT_EQ(select_actions<write_claims>(first).size(), 1U);
    EXPECT_TRUE(claims.claim("k2", "op2").empty());
    EXPECT_TRUE(claims.claim("k3", "op3").empty());
    const claim_actions next = claims.committed(1, {5});
    EXPECT_EQ(select_actions<claim_granted>(next).size(), 1U);
    ASSERT_EQ(select_actions<write_claims>(next).size(), 1U);
    EXPECT_EQ(select_actions<write_claims>(next).front().writes.size(), 2U);
}

TEST(claim_batcher, a_lost_response_is_resolved_by_the_operation_in_the_row)
{
    claim_batcher claims;
    claims.claim("k1", "op1");
    EXPECT_EQ(select_actions<read_claims>(claims.unknown(1)).size(), 1U);
    const claim_actions resolved =
        claims.read_back(1, {{"k1", make_claim_value("op1", ""), 9}});
    ASSERT_EQ(select_actions<claim_granted>(resolved).size(), 1U);
    EXPECT_EQ(select_actions<claim_granted>(resolved).front().version, 9);
    EXPECT_EQ(claims.size(), 0U);
}

TEST(claim_batcher, without_the_table_service_a_claim_fails)
{
    claim_batcher claims;
    claims.claim("k1", "op1");
    EXPECT_EQ(select_actions<claim_failed>(claims.failed(1)).size(), 1U);
}

TEST(claim_batcher, a_repeated_request_finds_the_stored_outcome)
{
    claim_batcher claims;
    claims.claim("k1", "op1");
    claims.committed(1, {5});
    claims.record("k1", "op1", 5, "200 hello");
    claims.committed(2, {6});
    claims.claim("k1", "op2");
    const std::string value = make_claim_value("op1", "200 hello");
    const claim_actions repeated = claims.conflicted(3, {{"k1", value, 6}});
    ASSERT_EQ(select_actions<claim_taken_by_other>(repeated).size(), 1U);
    EXPECT_EQ(
        claim_outcome(select_actions<claim_taken_by_other>(repeated)[0].value),
        "200 hello");
}

RC_GTEST_PROP(claim_batcher, two_gates_never_both_hold_a_key, ())
{
    memory_table table;
    std::vector<claim_batcher> gates(2);
    std::vector<std::optional<write_claims>> in_flight(2);
    std::map<std::string, std::string> key_of;
    std::map<std::string, std::string> owner_of;
    std::set<std::string> resolved;
    int next = 0;
    const auto apply = [&](std::size_t gate, const claim_actions& actions)
    {
        for (const write_claims& order : select_actions<write_claims>(actions))
        {
            in_flight[gate] = order;
        }
        for (const claim_granted& granted :
             select_actions<claim_granted>(actions))
        {
            RC_ASSERT(resolved.insert(granted.operation).second);
            const std::string key = key_of.at(granted.operation);
            RC_ASSERT(owner_of.emplace(key, granted.operation).second);
        }
        for (const auto& taken : select_actions<claim_taken_by_other>(actions))
        {
            RC_ASSERT(resolved.insert(taken.operation).second);
            RC_ASSERT(claim_operation(taken.value) != taken.operation);
        }
        for (const claim_failed& failure :
             select_actions<claim_failed>(actions))
        {
            RC_ASSERT(resolved.insert(failure.operation).second);
        }
    };
    const auto complete_transaction = [&](std::size_t gate, int outcome)
    {
        const write_claims order = *in_flight[gate];
        in_flight[gate].reset();
        claim_batcher& claims = gates[gate];
        if (outcome == 0)
        {
            apply(gate, claims.failed(order.batch));
            return;
        }
        const std::vector<claim_row> conflicts = table.find_conflicts(order);
        const bool is_committed = conflicts.empty() && outcome != 1;
        std::vector<std::int64_t> versions;
        if (is_committed)
        {
            versions = table.apply(order);
        }
        if (outcome <= 2)
        {
            for (const read_claims& read :
                 select_actions<read_claims>(claims.unknown(order.batch)))
            {
                std::vector<claim_row> rows;
                for (const std::string& key : read.keys)
                {
                    if (table.rows.contains(key))
                    {
                        rows.push_back(table.rows.at(key));
                    }
                }
                apply(gate, claims.read_back(read.batch, rows));
            }
            return;
        }
        apply(
            gate,
            is_committed ? claims.committed(order.batch, versions)
                         : claims.conflicted(order.batch, conflicts));
    };
    const int steps = *rc::gen::inRange(0, 60);
    for (int step = 0; step < steps; ++step)
    {
        const auto gate = *rc::gen::inRange<std::size_t>(0, 2);
        if (*rc::gen::inRange(0, 2) == 0)
        {
            const std::string operation = "op" + std::to_string(next++);
            const std::string key =
                *rc::gen::element<std::string>("a", "b", "c");
            key_of[operation] = key;
            apply(gate, gates[gate].claim(key, operation));
        }
        else if (in_flight[gate])
        {
            complete_transaction(gate, *rc::gen::inRange(0, 6));
        }
    }
    while (in_flight[0] || in_flight[1])
    {
        complete_transaction(in_flight[0] ? 0 : 1, 5);
    }
    RC_ASSERT(resolved.size() == key_of.size());
    RC_ASSERT(gates[0].size() + gates[1].size() == 0);
}

} // namespace chicory::online
