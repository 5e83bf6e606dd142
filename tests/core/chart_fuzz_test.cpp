#include "core/core.hpp"
#include "tests/support/corpus.hpp"
#include "tests/support/mutate.hpp"

#include <gtest/gtest.h>

namespace chicory
{

namespace
{

constexpr std::uint64_t rounds_in_ci = 3000;

} // namespace

TEST(chart_fuzz, malformed_files_yield_a_valid_chart_or_a_typed_error)
{
    const std::vector<std::string> corpus = testing_support::read_corpus(
        std::string(CHICORY_SOURCE_DIR) + "/charts");
    const testing_support::scratch_file scratch("chart_fuzz.toml");
    std::mt19937_64 generator(20261204);
    std::uint64_t rejected = 0;
    std::uint64_t accepted = 0;
    for (std::uint64_t round = 0;
         round < testing_support::fuzz_rounds(rounds_in_ci);
         ++round)
    {
        scratch.write(
            testing_support::mutate(corpus[round % corpus.size()], generator));
        const result<chart> loaded = chart::load(scratch.path());
        if (!loaded)
        {
            ASSERT_EQ(loaded.error().kind, error_kind::invalid_input);
            ASSERT_TRUE(loaded.error().text.starts_with(scratch.path() + ":"));
            ++rejected;
            continue;
        }
        // A loaded chart must declare its initial state.
        const chart& loaded_chart = loaded.value();
        const std::string& initial_name =
            loaded_chart.state_name(loaded_chart.initial());
        ASSERT_EQ(
            loaded_chart.state(initial_name).value(), loaded_chart.initial());
        ++accepted;
    }
    EXPECT_GT(rejected, 0U);
    EXPECT_GT(accepted, 0U);
}

} // namespace chicory
