#include "policy/online/online.hpp"

#include <gtest/gtest.h>

namespace chicory::online
{

namespace
{

std::vector<placed_vm> make_entries()
{
    std::vector<placed_vm> entries;
    for (int i = 0; i < 12; ++i)
    {
        const std::string zone = "z" + std::to_string(i % 4);
        entries.push_back({"e" + std::to_string(i), "r", zone});
    }
    return entries;
}

std::vector<placed_vm> make_runners()
{
    std::vector<placed_vm> runners;
    for (int i = 0; i < 40; ++i)
    {
        const std::string zone = "z" + std::to_string(i % 4);
        runners.push_back({"w" + std::to_string(i), "r", zone});
    }
    return runners;
}

} // namespace

TEST(
    owner_map, owner_is_in_the_zone_of_the_runner_while_an_entry_is_alive_there)
{
    std::vector<placed_vm> entries = make_entries();
    const placed_vm runner = {"w", "r", "z1"};
    const std::string owner = choose_owner(runner, entries);
    EXPECT_TRUE(owner == "e1" || owner == "e5" || owner == "e9");
    std::erase_if(
        entries,
        [](const placed_vm& e)
        {
            return e.zone == "z1";
        });
    EXPECT_FALSE(choose_owner(runner, entries).empty());
    EXPECT_EQ(choose_owner(runner, {}), "");
}

TEST(owner_map, loss_of_an_entry_reassigns_only_its_own_runners)
{
    owner_map map;
    std::vector<placed_vm> entries = make_entries();
    const std::vector<placed_vm> runners = make_runners();
    EXPECT_EQ(map.update(entries, runners).size(), runners.size());
    const std::size_t owned = map.owned_by("e5").size();
    std::erase_if(
        entries,
        [](const placed_vm& e)
        {
            return e.id == "e5";
        });
    const std::vector<owner_change> changes = map.update(entries, runners);
    EXPECT_EQ(changes.size(), owned);
    for (const owner_change& change : changes)
    {
        EXPECT_EQ(change.previous, "e5");
        EXPECT_EQ(map.owner_of(change.runner), change.current);
    }
}

TEST(owner_map, a_removed_runner_is_reported)
{
    owner_map map;
    map.update(make_entries(), {{"w", "r", "z0"}});
    const std::vector<owner_change> changes = map.update(make_entries(), {});
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes.front().current, "");
}

} // namespace chicory::online
