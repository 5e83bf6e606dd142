#include "policy/configuration/configuration.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace chicory::configuration
{
namespace
{

constexpr std::int64_t revision_count = 30;

history_entry make_change(const table_set& tables)
{
    pool next;
    next.name = "pool-" + std::to_string(tables.revision % 4);
    next.service = "engines";
    next.slots_per_runner = tables.revision + 1;
    const change row_change = pool_change{next.name, next};
    history_entry entry;
    entry.revision = tables.revision + 1;
    entry.key = key_of(row_change);
    entry.before = find_content(row_change, tables);
    entry.after = content_after(row_change);
    return entry;
}

/// The configuration at each revision, and the change that leads to it.
struct timeline
{
    std::vector<table_set> tables;
    std::vector<history_entry> changes;

    timeline()
    {
        this->tables.emplace_back();
        this->changes.emplace_back();
        while (this->tables.back().revision < revision_count)
        {
            const history_entry entry = make_change(this->tables.back());
            this->changes.push_back(entry);
            this->tables.push_back(
                apply_history(this->tables.back(), entry).value());
        }
    }

    const table_set& at(std::int64_t revision) const
    {
        return this->tables.at(static_cast<std::size_t>(revision));
    }
};

TEST(adoption, adopts_only_higher_valid_configurations)
{
    const timeline recorded;
    adoption node;
    EXPECT_EQ(node.offer(recorded.at(4)).value(), offer_outcome::adopted);
    EXPECT_EQ(node.offer(recorded.at(4)).value(), offer_outcome::not_newer);
    EXPECT_EQ(node.offer(recorded.at(2)).value(), offer_outcome::not_newer);
    table_set invalid = recorded.at(6);
    invalid.pools.begin()->second.slots_per_runner = 0;
    EXPECT_FALSE(node.offer(invalid).has_value());
    EXPECT_EQ(node.current(), recorded.at(4));
}

TEST(adoption, adopts_all_changes_or_none)
{
    const timeline recorded;
    adoption node;
    EXPECT_FALSE(node.offer({recorded.changes.at(1)}).has_value());
    ASSERT_TRUE(node.offer(recorded.at(3)).has_value());
    node.on_revision_seen(6);
    EXPECT_TRUE(node.is_behind());
    EXPECT_FALSE(node.offer({recorded.changes.at(4), recorded.changes.at(6)})
                     .has_value());
    EXPECT_EQ(node.current().revision, 3);
    const std::vector<history_entry> consecutive(
        recorded.changes.begin() + 2, recorded.changes.begin() + 7);
    EXPECT_EQ(node.offer(consecutive).value(), offer_outcome::adopted);
    EXPECT_EQ(node.current(), recorded.at(6));
    EXPECT_FALSE(node.is_behind());
    EXPECT_EQ(node.changes_after(4).value().size(), 2U);
    EXPECT_FALSE(node.changes_after(1).has_value());
}

RC_GTEST_PROP(
    adoption, revision_never_falls, (std::vector<std::pair<bool, int>> offers))
{
    const timeline recorded;
    adoption node;
    for (const auto& [is_complete, number] : offers)
    {
        const std::int64_t revision = 1 + std::abs(number % revision_count);
        const table_set before = node.current();
        const bool adopted =
            is_complete ? node.offer(recorded.at(revision)).has_value()
                        : node.offer({recorded.changes.at(
                                         static_cast<std::size_t>(revision))})
                              .has_value();
        RC_ASSERT(node.current().revision >= before.revision);
        RC_ASSERT(node.current() == recorded.at(node.current().revision));
        RC_ASSERT(adopted || node.current() == before);
    }
}

TEST(cold_start, chooses_the_highest_of_several_responses)
{
    const timeline recorded;
    const time_point start;
    cold_start startup({}, start);
    EXPECT_FALSE(startup.choose(start, 5, 0).has_value());
    startup.on_response(recorded.at(3));
    startup.on_response(table_set());
    EXPECT_FALSE(startup.choose(start, 5, 0).has_value());
    EXPECT_EQ(startup.choose(start, 1, 0).value(), recorded.at(3));
    startup.on_response(recorded.at(7));
    EXPECT_EQ(startup.choose(start, 5, 7).value(), recorded.at(7));
    EXPECT_FALSE(startup.choose(start, 5, 8).has_value());
    EXPECT_EQ(
        startup.choose(start + std::chrono::seconds(4), 5, 8).value(),
        recorded.at(7));
}

/// Guards against a node that adopts an older configuration than its reachable
/// peers have when it starts while the table service is unavailable. The random
/// revisions stand for peers after restarts, partitions and reordered offers.
RC_GTEST_PROP(
    cold_start,
    restarted_node_is_not_older_than_its_reachable_peers,
    (const std::vector<std::uint8_t>& revisions))
{
    RC_PRE(!revisions.empty());
    const timeline recorded;
    const time_point start;
    cold_start startup({}, start);
    std::int64_t highest = 0;
    for (const std::uint8_t number : revisions)
    {
        const std::int64_t revision = number % (revision_count + 1);
        highest = std::max(highest, revision);
        startup.on_response(recorded.at(revision));
    }
    const std::optional<table_set> chosen =
        startup.choose(start, revisions.size(), highest);
    RC_ASSERT(chosen.has_value() == (highest > 0));
    RC_ASSERT(!chosen || chosen->revision == highest);
}

/// Returns the read rate of all members together, in reads per second.
double measure_rate(std::size_t members)
{
    constexpr std::chrono::seconds measured(200);
    std::size_t reads = 0;
    for (std::size_t member = 0; member < members; ++member)
    {
        poll_share schedule({}, member);
        time_point now = schedule.next(time_point(), members);
        while (now < time_point(measured))
        {
            ++reads;
            now = schedule.next(now, members);
        }
    }
    return static_cast<double>(reads) / static_cast<double>(measured.count());
}

TEST(poll_share, stays_under_the_fleet_rate_at_any_size)
{
    for (const std::size_t members : {1, 3, 13, 100, 340, 2000})
    {
        const double rate = measure_rate(members);
        EXPECT_LE(rate, 20.0) << members;
        EXPECT_GT(rate, 1.0) << members;
    }
}

} // namespace
} // namespace chicory::configuration
