#include "policy/serving/serving.hpp"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <chrono>

namespace chicory::serving
{

namespace
{

using namespace std::chrono_literals;

serving_route make_route(const std::string& name, const std::string& prefix)
{
    serving_route route;
    route.name = name;
    route.host = "a.example";
    route.prefix = prefix;
    route.services = {{"chat", 1}};
    return route;
}

TEST(serving_configuration_test, the_longest_prefix_of_the_host_is_chosen)
{
    serving_configuration configuration;
    configuration.routes = {
        make_route("short", "/x/"), make_route("long", "/x/y/")};
    EXPECT_EQ(find_route(configuration, "a.example", "/x/y/1")->name, "long");
    EXPECT_EQ(find_route(configuration, "a.example", "/x/yz")->name, "short");
    EXPECT_EQ(find_route(configuration, "b.example", "/x/y/1"), nullptr);
    EXPECT_EQ(find_route(configuration, "a.example", "/z/"), nullptr);
}

TEST(serving_configuration_test, services_are_chosen_by_weight)
{
    serving_route route = make_route("r", "/");
    route.services = {{"a", 90}, {"b", 10}};
    int chosen = 0;
    for (std::uint64_t draw = 0; draw < 1000; ++draw)
    {
        chosen += choose_service(route, draw) == "a" ? 1 : 0;
    }
    EXPECT_EQ(chosen, 900);
}

TEST(serving_configuration_test, only_resumable_streams_may_be_repeated)
{
    serving_route route = make_route("r", "/");
    route.kind = route_kind::streaming;
    EXPECT_FALSE(is_repeatable(route));
    route.resumable = true;
    EXPECT_TRUE(is_repeatable(route));
    route.kind = route_kind::non_idempotent;
    EXPECT_FALSE(is_repeatable(route));
}

TEST(event_splitter_test, returns_only_complete_events)
{
    event_splitter splitter;
    EXPECT_EQ(splitter.cut_and_track_id("id: 1\nda"), "");
    EXPECT_EQ(splitter.cut_and_track_id("ta: a\n"), "");
    EXPECT_EQ(splitter.cut_and_track_id("\nid: 2\n"), "id: 1\ndata: a\n\n");
    EXPECT_EQ(splitter.last_id(), "1");
    EXPECT_EQ(splitter.unfinished_bytes(), 6U);
    splitter.drop_unfinished();
    EXPECT_EQ(
        splitter.cut_and_track_id("id: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
    EXPECT_EQ(splitter.last_id(), "2");
}

// Fault pattern: a runner sends an event id with a carriage return, which the
// next runner would receive as the end of a header.
TEST(event_splitter_test, an_event_id_with_a_carriage_return_is_no_event)
{
    for (const std::string id : {"5\rX-Tenant: south", "5\x01", "\x7f"})
    {
        event_splitter splitter;
        EXPECT_TRUE(splitter.cut_and_track_id("id: 4\r\ndata: a\r\n\n"));
        EXPECT_FALSE(splitter.cut_and_track_id("id: " + id + "\ndata: b\n\n"));
        EXPECT_EQ(splitter.last_id(), "4");
    }
}

// Load pattern: an event without an end that arrives in many pieces. Each byte
// must be searched only once.
TEST(event_splitter_test, finds_an_event_end_split_over_two_pieces)
{
    event_splitter splitter;
    EXPECT_EQ(splitter.cut_and_track_id("data: a"), "");
    EXPECT_EQ(splitter.cut_and_track_id(std::string(100000, 'x')), "");
    EXPECT_EQ(splitter.unfinished_bytes(), 100007U);
    EXPECT_EQ(splitter.cut_and_track_id("\n"), "");
    EXPECT_EQ(splitter.cut_and_track_id("\nid: 2\n")->size(), 100009U);
    EXPECT_EQ(splitter.unfinished_bytes(), 6U);
}

// Guards against a stream with events twice or without some of them: a runner
// that is asked to continue it begins anew or skips events.
TEST(event_splitter_test, a_continued_run_starts_with_the_next_event)
{
    for (const char* odd :
         {"id: 1\ndata: a\n\n",
          "id: 4\ndata: d\n\n",
          "data: c\n\n",
          "id: x\ndata: c\n\n"})
    {
        event_splitter splitter;
        splitter.begin_run();
        EXPECT_TRUE(splitter.cut_and_track_id("id: 2\ndata: b\n\nid: 3"));
        splitter.begin_run();
        EXPECT_EQ(splitter.cut_and_track_id(odd), std::nullopt) << odd;
        EXPECT_EQ(splitter.last_id(), "2");
        splitter.begin_run();
        EXPECT_TRUE(splitter.cut_and_track_id("id: 3\ndata: c\n\n")) << odd;
    }
    EXPECT_FALSE(may_follow("9223372036854775807", "-9223372036854775808"));
}

// Guards against a result that lacks the end of its text: a run that is asked
// to continue it ends at once.
TEST(item_progress_test, a_run_without_events_does_not_complete_a_text)
{
    item_progress progress;
    progress.begin_run();
    ASSERT_TRUE(progress.append("id: 1\ndata: a\n\n"));
    EXPECT_TRUE(progress.is_whole());
    progress.begin_run();
    EXPECT_FALSE(progress.is_whole());
    ASSERT_TRUE(progress.append("id: 2\ndata: b\n\n"));
    EXPECT_TRUE(progress.is_whole());
}

TEST(item_progress_test, restart_clears_the_text)
{
    item_progress progress;
    progress.begin_run();
    EXPECT_TRUE(progress.append("id: 1\ndata: a\n\nid: 2"));
    EXPECT_EQ(progress.unfinished_bytes(), 5U);
    progress.restart();
    EXPECT_EQ(progress.unfinished_bytes(), 0U);
    EXPECT_EQ(progress.last_event_id(), "");
    EXPECT_TRUE(progress.append("id: 1\ndata: b\n\n"));
    EXPECT_EQ(progress.text(), "b");
}

TEST(item_progress_test, continues_after_the_last_complete_event)
{
    item_progress progress;
    progress.begin_run();
    EXPECT_TRUE(progress.append("id: 1\ndata: a\n\nid: 2\nda"));
    EXPECT_EQ(progress.last_event_id(), "1");
    progress.begin_run();
    EXPECT_TRUE(progress.append("id: 2\ndata: b\n\n"));
    EXPECT_EQ(progress.text(), "a\nb");
    EXPECT_TRUE(progress.is_whole());
    EXPECT_EQ(progress.events(), 2);
}

TEST(item_progress_test, rejects_an_event_after_a_gap)
{
    item_progress progress;
    progress.begin_run();
    EXPECT_TRUE(progress.append("id: 1\ndata: a\n\n"));
    EXPECT_FALSE(progress.append("id: 3\ndata: c\n\n"));
    EXPECT_EQ(progress.text(), "a");
    EXPECT_EQ(progress.last_event_id(), "1");
}

TEST(item_progress_test, rejects_a_repeated_event)
{
    item_progress progress;
    progress.begin_run();
    EXPECT_TRUE(progress.append("id: 1\ndata: a\n\n"));
    EXPECT_FALSE(progress.append("id: 1\ndata: a\n\n"));
    EXPECT_EQ(progress.text(), "a");
}

// Guards against work that waits for a service that its route no longer names:
// an operator moves the route, changes its shares or removes it.
TEST(serving_configuration_test, waiting_work_follows_changes_of_its_route)
{
    serving_route before;
    before.host = "a.example";
    before.services = {{"old", 1}};
    EXPECT_TRUE(may_keep_waiting(before, &before, 7));
    EXPECT_FALSE(may_keep_waiting(before, nullptr, 7));
    serving_route moved = before;
    moved.services = {{"new", 1}};
    EXPECT_FALSE(may_keep_waiting(before, &moved, 7));
    serving_route split = before;
    split.services = {{"old", 90}, {"new", 10}};
    EXPECT_TRUE(may_keep_waiting(before, &split, 89));
    EXPECT_FALSE(may_keep_waiting(before, &split, 90));
    serving_route shorter = before;
    shorter.timeout = before.timeout / 2;
    EXPECT_FALSE(may_keep_waiting(before, &shorter, 7));
}

TEST(item_progress_test, gives_up_only_after_the_last_attempt)
{
    EXPECT_EQ(judge_failures({2, 0}, 3), failure_decision::run_again);
    EXPECT_EQ(judge_failures({3, 0}, 3), failure_decision::give_up);
    EXPECT_EQ(judge_failures({0, 1}, 3), failure_decision::give_up);
}

job_record make_job()
{
    job_record job;
    job.id = "j1";
    job.route = "kits";
    job.owner = "vm-1";
    job.owner_incarnation = 1791261950012;
    job.accepted_ms = 1791261950013;
    job.body_records = 2;
    job.tokens = {100, 200, 300};
    job.listed = {{2, item_state::completed, 1}, {0, item_state::errored, 0}};
    job.failures[0] = {3, 0};
    job.version = 9;
    return job;
}

TEST(job_record_test, decodes_what_was_encoded)
{
    const job_record job = make_job();
    const result<job_record> read = decode_job("j1", encode_job(job), 9);
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value(), job);
}

// Guards against jobs that expire because a time is unknown: a node starts
// while the store is unavailable, or a record lacks its time of acceptance.
TEST(job_record_test, a_job_is_young_while_its_age_is_unknown)
{
    job_record job = make_job();
    EXPECT_EQ(
        job_age(job, job.accepted_ms + 1500), std::chrono::milliseconds(1500));
    EXPECT_EQ(job_age(job, job.accepted_ms - 1), duration::zero());
    EXPECT_EQ(job_age(job, std::nullopt), duration::zero());
    job.accepted_ms = 0;
    EXPECT_EQ(job_age(job, 1791261950013), duration::zero());
}

// Guards against the removal of a job that is still read or still runs.
TEST(job_record_test, only_old_finished_jobs_may_be_forgotten)
{
    job_record job = make_job();
    const std::int64_t now_ms = job.accepted_ms + 121000;
    const duration lifetime = std::chrono::seconds(120);
    EXPECT_FALSE(may_forget(job, now_ms, lifetime));
    job.ended = true;
    EXPECT_TRUE(may_forget(job, now_ms, lifetime));
    EXPECT_FALSE(may_forget(job, now_ms - 1000, lifetime));
    EXPECT_FALSE(may_forget(job, std::nullopt, lifetime));
}

TEST(job_record_test, rejects_items_listed_twice_and_invalid_text)
{
    job_record job = make_job();
    job.listed.push_back({2, item_state::completed, 1});
    EXPECT_FALSE(decode_job("j1", encode_job(job), 9));
    job.listed.back().item = 3;
    EXPECT_FALSE(decode_job("j1", encode_job(job), 9));
    EXPECT_FALSE(decode_job("j1", "{}", 9));
    EXPECT_FALSE(decode_job("j1", "no json", 9));
}

TEST(job_record_test, counts_the_tokens_of_waiting_items)
{
    job_record job = make_job();
    EXPECT_EQ(waiting_tokens(job), 200);
    EXPECT_THAT(unlisted_items(job), ::testing::ElementsAre(1));
    EXPECT_TRUE(is_open(job));
    job.ended = true;
    EXPECT_EQ(waiting_tokens(job), 0);
    EXPECT_FALSE(is_open(job));
}

TEST(coordinator_choice_test, the_order_is_the_same_everywhere_and_stable)
{
    const std::vector<std::string> nodes = {"a", "b", "c", "d"};
    const std::vector<std::string> order = order_nodes("chat", nodes);
    const std::vector<std::string> shuffled = {"d", "b", "a", "c"};
    EXPECT_EQ(order, order_nodes("chat", shuffled));
    std::vector<std::string> fewer = nodes;
    std::erase(fewer, order.back());
    EXPECT_EQ(order_nodes("chat", fewer).front(), order.front());
}

TEST(coordinator_choice_test, large_vms_come_before_small_ones)
{
    std::vector<live_node> nodes;
    for (int index = 0; index < 40; ++index)
    {
        nodes.push_back({"small-" + std::to_string(index), 1, 160, "z1"});
    }
    nodes.push_back({"large-1", 1, 512, "z1"});
    nodes.push_back({"large-2", 1, 514, "z2"});
    const std::vector<std::string> order =
        order_coordinators({"chat", "", 0}, nodes);
    EXPECT_THAT(order.at(0), ::testing::StartsWith("large"));
    EXPECT_THAT(order.at(1), ::testing::StartsWith("large"));
    EXPECT_THAT(order.at(2), ::testing::StartsWith("small"));
    std::vector<live_node> shuffled(nodes.rbegin(), nodes.rend());
    EXPECT_EQ(order, order_coordinators({"chat", "", 0}, shuffled));
}

TEST(coordinator_choice_test, vms_of_similar_size_share_the_services)
{
    const std::vector<live_node> nodes = {
        {"a", 1, 289, "z1"}, {"b", 1, 290, "z2"}};
    std::set<std::string> first;
    for (int index = 0; index < 40; ++index)
    {
        first.insert(
            order_coordinators({"chat-" + std::to_string(index), "", 0}, nodes)
                .front());
    }
    EXPECT_EQ(first.size(), 2);
}

TEST(coordinator_choice_test, a_group_is_coordinated_in_its_zone)
{
    const std::vector<live_node> nodes = {
        {"near-small", 1, 160, "z1"},
        {"near-1", 1, 512, "z1"},
        {"near-2", 1, 512, "z1"},
        {"far", 1, 512, "z2"}};
    for (std::uint32_t part = 0; part < 20; ++part)
    {
        const std::vector<std::string> order =
            order_coordinators({"chat", "z1", part}, nodes);
        EXPECT_THAT(order.at(0), ::testing::StartsWith("near-"));
        EXPECT_THAT(order.at(1), ::testing::StartsWith("near-"));
        EXPECT_EQ(order.at(2), "far");
        EXPECT_EQ(order.at(3), "near-small");
    }
}

TEST(wait_estimate_test, the_first_request_waits_for_the_next_run_to_end)
{
    const time_point now = time_point() + 1h;
    const wait_estimate waits(now, {now - 200ms, now - 500ms}, 600ms);
    EXPECT_EQ(waits.wait_of(0), 100ms);
    EXPECT_EQ(waits.wait_of(1), 400ms);
    EXPECT_EQ(waits.wait_of(2), 700ms);
    EXPECT_EQ(waits.wait_of(5), 1600ms);
}

TEST(wait_estimate_test, overdue_runs_end_within_half_of_the_mean_duration)
{
    const time_point now = time_point() + 1h;
    const wait_estimate waits(now, {now - 2s, now - 1s}, 600ms);
    EXPECT_EQ(waits.wait_of(0), 150ms);
    EXPECT_EQ(waits.wait_of(1), 300ms);
}

TEST(wait_estimate_test, without_runs_the_wait_is_one_mean_duration)
{
    const wait_estimate waits(time_point() + 1h, {}, 600ms);
    EXPECT_EQ(waits.wait_of(3), 600ms);
}

// Guards against an item that waits while runners are idle, because runners
// crashed under it before.
TEST(item_retry_test, an_item_under_which_runners_crashed_runs_again_soon)
{
    EXPECT_EQ(choose_item_pause(0), duration::zero());
    duration before = duration::zero();
    for (int closed = 1; closed < 40; ++closed)
    {
        const duration pause = choose_item_pause(closed);
        EXPECT_GE(pause, before);
        EXPECT_GT(pause, duration::zero());
        EXPECT_LE(pause, 1s);
        before = pause;
    }
}

TEST(coordinator_health_test, an_unresponsive_node_is_avoided_for_a_time)
{
    const time_point start = time_point() + 1h;
    coordinator_health contact;
    contact.on_sent(start, "a");
    EXPECT_TRUE(contact.is_awaiting_response("a"));
    EXPECT_TRUE(contact.is_responding(start + 50ms, "a"));
    EXPECT_FALSE(contact.is_responding(start + 100ms, "a"));
    EXPECT_FALSE(contact.is_responding(start + 900ms, "a"));
    EXPECT_TRUE(contact.is_responding(start + 1200ms, "a"));
    contact.on_sent(start + 1200ms, "a");
    contact.on_response(start + 1210ms, "a");
    EXPECT_TRUE(contact.is_responding(start + 2s, "a"));
}

} // namespace

} // namespace chicory::serving
