#include "policy/serving/serving.hpp"
#include "tests/support/mutate.hpp"

#include <gtest/gtest.h>

#include <random>

namespace chicory::serving
{

TEST(job_record_fuzz, damaged_jobs_decode_to_a_job_or_a_typed_error)
{
    job_record job;
    job.id = "j1";
    job.route = "kits";
    job.owner = "vm-1";
    job.owner_incarnation = 1791261950012;
    job.accepted_ms = 51230;
    job.tokens = {100, 200, 300};
    job.listed = {{2, item_state::completed, 1}, {0, item_state::errored, 0}};
    job.failures[0] = {3, 0};
    const std::string whole = encode_job(job);
    std::mt19937_64 generator(20261204);
    std::uint64_t refused = 0;
    std::uint64_t accepted = 0;
    for (std::uint64_t round = 0; round < testing_support::fuzz_rounds();
         ++round)
    {
        const result<job_record> read =
            decode_job("j1", testing_support::mutate(whole, generator), 9);
        if (!read)
        {
            ASSERT_EQ(read.error().kind, error_kind::invalid_input);
            ++refused;
            continue;
        }
        const result<job_record> again =
            decode_job("j1", encode_job(read.value()), 9);
        ASSERT_TRUE(again.has_value());
        ASSERT_EQ(again.value(), read.value());
        static_cast<void>(waiting_tokens(read.value()));
        ++accepted;
    }
    EXPECT_GT(refused, 0U);
    EXPECT_GT(accepted, 0U);
}

TEST(event_fuzz, damaged_streams_leave_a_consistent_progress)
{
    const std::string whole =
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n";
    std::mt19937_64 generator(20261204);
    for (std::uint64_t round = 0; round < testing_support::fuzz_rounds();
         ++round)
    {
        const std::string bytes = testing_support::mutate(whole, generator);
        const std::size_t cut = generator() % (bytes.size() + 1);
        item_progress progress;
        progress.begin_run();
        const bool first = progress.append(bytes.substr(0, cut));
        if (first)
        {
            progress.append(bytes.substr(cut));
        }
        ASSERT_GE(progress.events(), 0);
        ASSERT_EQ(progress.events() == 0, progress.last_event_id().empty());
    }
}

} // namespace chicory::serving
