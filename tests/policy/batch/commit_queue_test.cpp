#include "policy/batch/batch.hpp"

#include <gtest/gtest.h>

namespace chicory::batch
{

TEST(commit_queue, groups_chunks_and_isolates_the_one_that_lost_its_lease)
{
    commit_queue queue({}, 1);
    time_point now(std::chrono::seconds(1));
    for (const char* const name : {"a", "b"})
    {
        finished_chunk chunk;
        chunk.request.open_key = "open";
        chunk.request.open_version = 1;
        chunk.request.chunk_key = name;
        chunk.request.token = 5;
        chunk.request.committed.name = name;
        chunk.results = "x";
        queue.push(chunk);
        const auto action = queue.next(now);
        ASSERT_TRUE(std::holds_alternative<store_results>(*action));
        EXPECT_FALSE(queue.next(now));
        queue.on_stored(
            std::get<store_results>(*action).id, write_outcome::done, now);
    }
    const auto first = std::get<commit_chunks>(*queue.next(now));
    ASSERT_EQ(first.ids.size(), 2U);
    queue.on_transaction(first.ids, write_outcome::done, {{"a", "{}", 9}}, now);
    const auto second = std::get<commit_chunks>(*queue.next(now));
    ASSERT_EQ(second.ids.size(), 1U);
    queue.on_transaction(second.ids, write_outcome::done, {}, now);
    const std::vector<resolved_chunk> resolved = queue.take_resolved();
    ASSERT_EQ(resolved.size(), 2U);
    EXPECT_EQ(resolved[0].outcome, chunk_outcome::lease_lost);
    EXPECT_EQ(resolved[1].outcome, chunk_outcome::committed);
    EXPECT_EQ(queue.held_bytes(), 0U);
}

TEST(commit_queue, holds_results_through_an_outage_and_reports_when_full)
{
    commit_settings settings;
    settings.max_bytes = 10;
    commit_queue queue(settings, 1);
    finished_chunk chunk;
    chunk.results = std::string(10, 'x');
    queue.push(chunk);
    EXPECT_TRUE(queue.is_full());
    time_point now(std::chrono::seconds(1));
    for (int failure = 0; failure < 20; ++failure)
    {
        const auto action = queue.next(now);
        ASSERT_TRUE(action);
        queue.on_stored(
            std::get<store_results>(*action).id, write_outcome::no_effect, now);
        EXPECT_FALSE(queue.next(now));
        now += std::chrono::seconds(5);
    }
    EXPECT_EQ(queue.size(), 1U);
}

} // namespace chicory::batch
