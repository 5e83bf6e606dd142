#include "policy/membership/membership.hpp"

#include <gtest/gtest.h>

namespace chicory::membership
{
namespace
{

vm make_runner(const std::string& id, std::uint64_t incarnation)
{
    vm vm_details;
    vm_details.id = id;
    vm_details.role = vm_role::runner;
    vm_details.incarnation = incarnation;
    vm_details.service = "inkasso-llm";
    return vm_details;
}

struct tracker_fixture
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
        for (const member_update& update : updates)
        {
            this->table.apply(update, this->now);
        }
    }

    member_status find(const std::string& id)
    {
        return this->table.find(id)->status;
    }
};

TEST(vm_tracker, removes_a_vm_missing_from_two_reads)
{
    tracker_fixture state;
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

TEST(vm_tracker, keeps_vms_when_a_list_lacks_most_of_them)
{
    tracker_fixture state;
    const std::vector<vm> all = {
        make_runner("a", 1),
        make_runner("b", 1),
        make_runner("c", 1),
        make_runner("d", 1)};
    state.read(all);
    EXPECT_TRUE(state.read({all[0]}).implausible);
    EXPECT_TRUE(state.read({}).implausible);
    EXPECT_EQ(state.find("d").state, vm_state::alive);
}

TEST(vm_tracker, leaving_runner_returns_only_with_a_higher_incarnation)
{
    tracker_fixture state;
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

TEST(vm_tracker, stale_list_does_not_revive_a_leaving_runner)
{
    tracker_fixture state;
    vm runner = make_runner("a", 3);
    runner.state = vm_state::leaving;
    state.read({runner});
    EXPECT_EQ(state.find("a").state, vm_state::leaving);
    runner.state = vm_state::alive;
    state.read({runner});
    EXPECT_EQ(state.find("a").state, vm_state::leaving);
}

TEST(vm_tracker, list_marks_an_entry_vm_as_leaving)
{
    tracker_fixture state;
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
    vm vm_details;
    vm_details.id = id;
    vm_details.region = "at-ost";
    vm_details.zone = zone;
    vm_details.address = "10.0.0." + id;
    vm_details.http_port = 80;
    return vm_details;
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

TEST(entrypoint_choice, returns_own_zone_first_and_another_zone_last)
{
    const entrypoint_response response =
        choose_entrypoints(make_view(), "at-ost", "wien", "counter-1", {});
    ASSERT_EQ(response.addresses.size(), 4U);
    EXPECT_EQ(response.addresses[0].zone, "wien");
    EXPECT_EQ(response.addresses[2].zone, "wien");
    EXPECT_EQ(response.addresses[3].zone, "krems");
    EXPECT_GT(response.time_to_live, duration::zero());
}

TEST(entrypoint_choice, spreads_callers)
{
    std::map<std::string, int> uses;
    for (int caller = 0; caller < 600; ++caller)
    {
        const entrypoint_response response = choose_entrypoints(
            make_view(), "at-ost", "wien", std::to_string(caller), {});
        ++uses[response.addresses[0].vm_id];
    }
    ASSERT_EQ(uses.size(), 6U);
    for (const auto& [id, count] : uses)
    {
        EXPECT_GT(count, 60) << id;
    }
}

// Guards against small VMs being chosen first when a burst reaches a zone with
// few large and many small VMs.
TEST(entrypoint_choice, returns_large_vms_of_the_zone_before_small_ones)
{
    fleet_view view;
    for (int index = 0; index < 20; ++index)
    {
        vm entry = make_entry(std::to_string(index), "wien");
        entry.memory_mb = index < 3 ? 512 : 160;
        view.vms.push_back(entry);
    }
    vm other_zone_vm = make_entry("20", "krems");
    other_zone_vm.memory_mb = 512;
    view.vms.push_back(other_zone_vm);
    entrypoint_settings settings;
    settings.count = 5;
    for (int caller = 0; caller < 50; ++caller)
    {
        const entrypoint_response response = choose_entrypoints(
            view, "at-ost", "wien", std::to_string(caller), settings);
        ASSERT_EQ(response.addresses.size(), 5U);
        for (std::size_t position = 0; position < 3; ++position)
        {
            EXPECT_LT(std::stoi(response.addresses[position].vm_id), 3);
        }
        EXPECT_EQ(response.addresses[3].zone, "wien");
        EXPECT_EQ(response.addresses[4].vm_id, "20");
    }
}

TEST(entrypoint_choice, excludes_leaving_and_suspect_vms)
{
    fleet_view view = make_view();
    view.vms[1].state = vm_state::leaving;
    view.vms[3].state = vm_state::suspect;
    for (int caller = 0; caller < 50; ++caller)
    {
        const entrypoint_response response = choose_entrypoints(
            view, "at-ost", "wien", std::to_string(caller), {});
        for (const entrypoint& chosen : response.addresses)
        {
            EXPECT_NE(chosen.vm_id, "1");
            EXPECT_NE(chosen.vm_id, "3");
        }
    }
    for (vm& entry : view.vms)
    {
        entry.state = vm_state::suspect;
    }
    view.vms[5].state = vm_state::leaving;
    const entrypoint_response suspects_only =
        choose_entrypoints(view, "at-ost", "wien", "counter-1", {});
    EXPECT_EQ(suspects_only.addresses.size(), 4U);
}

} // namespace
} // namespace chicory::membership
