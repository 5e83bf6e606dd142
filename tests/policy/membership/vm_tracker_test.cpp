#include "policy/membership/membership.hpp"

#include <gtest/gtest.h>

namespace chicory::membership
{
namespace
{

vm make_runner(const std::string& id, std::uint64_t incarnation)
{
    vm made;
    made.id = id;
    made.role = vm_role::runner;
    made.incarnation = incarnation;
    made.service = "inkasso-llm";
    return made;
}

struct tracked
{
    vm_tracker tracker;
    member_table table{1};
    time_point now;

    list_changes read(const std::vector<vm>& listed)
    {
        const list_changes changes = this->tracker.on_list(listed, this->table);
        this->apply(changes.updates);
        return changes;
    }

    void apply(const std::vector<member_update>& updates)
    {
        for (const member_update& heard : updates)
        {
            this->table.apply(heard, this->now);
        }
    }

    member_status find(const std::string& id)
    {
        return this->table.find(id)->status;
    }
};

TEST(vm_tracker, takes_a_vm_away_after_two_reads)
{
    tracked state;
    const vm first = make_runner("a", 1);
    const vm second = make_runner("b", 1);
    state.read({first, second});
    EXPECT_TRUE(state.read({first}).read_again);
    EXPECT_EQ(state.find("b").state, vm_state::alive);
    EXPECT_FALSE(state.read({first}).read_again);
    EXPECT_EQ(state.find("b").state, vm_state::dead);
    state.read({first, second});
    EXPECT_EQ(state.find("b").state, vm_state::dead);
    state.read({first, make_runner("b", 2)});
    EXPECT_EQ(state.find("b").state, vm_state::alive);
}

TEST(vm_tracker, does_not_believe_a_list_that_lost_most_vms)
{
    tracked state;
    const std::vector<vm> all = {
        make_runner("a", 1),
        make_runner("b", 1),
        make_runner("c", 1),
        make_runner("d", 1)};
    state.read(all);
    EXPECT_TRUE(state.read({all[0]}).doubtful);
    EXPECT_TRUE(state.read({}).doubtful);
    EXPECT_EQ(state.find("d").state, vm_state::alive);
}

TEST(vm_tracker, first_word_that_a_runner_leaves_holds)
{
    tracked state;
    const vm runner = make_runner("a", 3);
    state.read({runner});
    state.apply(vm_tracker::on_leaving("a", 3, state.table));
    EXPECT_EQ(state.find("a").state, vm_state::leaving);
    EXPECT_TRUE(vm_tracker::on_leaving("a", 3, state.table).empty());
    state.read({runner});
    state.apply(vm_tracker::on_report("a", 3, false, state.table));
    EXPECT_EQ(state.find("a").state, vm_state::leaving);
    state.apply(vm_tracker::on_report("a", 4, false, state.table));
    EXPECT_EQ(state.find("a").state, vm_state::alive);
    EXPECT_TRUE(vm_tracker::on_leaving("x", 1, state.table).empty());
}

TEST(vm_tracker, list_that_lags_does_not_revive_a_runner)
{
    tracked state;
    vm runner = make_runner("a", 3);
    runner.state = vm_state::leaving;
    state.read({runner});
    EXPECT_EQ(state.find("a").state, vm_state::leaving);
    runner.state = vm_state::alive;
    state.read({runner});
    EXPECT_EQ(state.find("a").state, vm_state::leaving);
}

TEST(vm_tracker, list_tells_that_an_entry_vm_is_leaving)
{
    tracked state;
    vm entry = make_runner("e", 1);
    entry.role = vm_role::entry;
    state.read({entry});
    EXPECT_EQ(state.find("e").incarnation, 0U);
    state.table.apply({"e", {70, 2, vm_state::alive}, entry}, state.now);
    entry.state = vm_state::leaving;
    state.read({entry});
    EXPECT_EQ(state.find("e"), (member_status{70, 2, vm_state::leaving}));
}

vm make_entry(const std::string& id, const std::string& zone)
{
    vm made;
    made.id = id;
    made.region = "at-ost";
    made.zone = zone;
    made.address = "10.0.0." + id;
    made.http_port = 80;
    return made;
}

fleet_view make_view()
{
    fleet_view view;
    for (int index = 0; index < 12; ++index)
    {
        const std::string zone = index % 2 == 0 ? "krems" : "wien";
        view.vms.push_back(make_entry(std::to_string(index), zone));
    }
    return view;
}

TEST(entrypoint_choice, names_the_own_zone_first_and_another_last)
{
    const entrypoint_response answer =
        choose_entrypoints(make_view(), "at-ost", "wien", "counter-1", {});
    ASSERT_EQ(answer.addresses.size(), 4U);
    EXPECT_EQ(answer.addresses[0].zone, "wien");
    EXPECT_EQ(answer.addresses[2].zone, "wien");
    EXPECT_EQ(answer.addresses[3].zone, "krems");
    EXPECT_GT(answer.time_to_live, duration::zero());
}

TEST(entrypoint_choice, spreads_callers)
{
    std::map<std::string, int> uses;
    for (int caller = 0; caller < 600; ++caller)
    {
        const entrypoint_response answer = choose_entrypoints(
            make_view(), "at-ost", "wien", std::to_string(caller), {});
        ++uses[answer.addresses[0].vm_id];
    }
    ASSERT_EQ(uses.size(), 6U);
    for (const auto& [id, count] : uses)
    {
        EXPECT_GT(count, 60) << id;
    }
}

// Load pattern: a burst before a zone of few large and many small VMs.
TEST(entrypoint_choice, names_large_vms_of_the_zone_before_small_ones)
{
    fleet_view view;
    for (int index = 0; index < 20; ++index)
    {
        vm entry = make_entry(std::to_string(index), "wien");
        entry.memory_mb = index < 3 ? 512 : 160;
        view.vms.push_back(entry);
    }
    vm far = make_entry("20", "krems");
    far.memory_mb = 512;
    view.vms.push_back(far);
    entrypoint_settings settings;
    settings.count = 5;
    for (int caller = 0; caller < 50; ++caller)
    {
        const entrypoint_response answer = choose_entrypoints(
            view, "at-ost", "wien", std::to_string(caller), settings);
        ASSERT_EQ(answer.addresses.size(), 5U);
        for (std::size_t place = 0; place < 3; ++place)
        {
            EXPECT_LT(std::stoi(answer.addresses[place].vm_id), 3);
        }
        EXPECT_EQ(answer.addresses[3].zone, "wien");
        EXPECT_EQ(answer.addresses[4].vm_id, "20");
    }
}

TEST(entrypoint_choice, leaves_out_leaving_and_suspect_vms)
{
    fleet_view view = make_view();
    view.vms[1].state = vm_state::leaving;
    view.vms[3].state = vm_state::suspect;
    for (int caller = 0; caller < 50; ++caller)
    {
        const entrypoint_response answer = choose_entrypoints(
            view, "at-ost", "wien", std::to_string(caller), {});
        for (const entrypoint& named : answer.addresses)
        {
            EXPECT_NE(named.vm_id, "1");
            EXPECT_NE(named.vm_id, "3");
        }
    }
    for (vm& entry : view.vms)
    {
        entry.state = vm_state::suspect;
    }
    view.vms[5].state = vm_state::leaving;
    const entrypoint_response last =
        choose_entrypoints(view, "at-ost", "wien", "counter-1", {});
    EXPECT_EQ(last.addresses.size(), 4U);
}

} // namespace
} // namespace chicory::membership
