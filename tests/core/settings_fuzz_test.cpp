#include "core/core.hpp"
#include "tests/support/corpus.hpp"
#include "tests/support/mutate.hpp"

#include <gtest/gtest.h>

#include <array>

namespace chicory
{

namespace
{

constexpr std::uint64_t rounds_in_ci = 3000;

constexpr std::array<std::string_view, 7> known_keys = {
    "vm.id",
    "vm.address",
    "gate.http_port",
    "platform.call_limit_ms",
    "log.level",
    "gates",
    "operator"};

/// Reads each known key with every getter, so that each getter is called on a
/// value of each type.
void read_with_every_getter(settings_reader& reader)
{
    for (const std::string_view key : known_keys)
    {
        reader.required_string(key);
        reader.optional_string(key, "fallback");
        reader.required_integer(key, 1, 10);
        reader.optional_bool(key, false);
        reader.required_port(key);
        reader.required_address(key);
        reader.optional_address(key, "::1");
        reader.optional_strings(key);
    }
}

} // namespace

TEST(settings_fuzz, malformed_files_yield_settings_or_a_typed_error)
{
    const std::vector<std::string> corpus = testing_support::read_corpus(
        std::string(CHICORY_SOURCE_DIR) + "/examples");
    const testing_support::scratch_file scratch("settings_fuzz.toml");
    std::mt19937_64 generator(20261204);
    std::uint64_t rejected = 0;
    for (std::uint64_t round = 0;
         round < testing_support::fuzz_rounds(rounds_in_ci);
         ++round)
    {
        scratch.write(
            testing_support::mutate(corpus[round % corpus.size()], generator));
        result<settings_reader> opened = settings_reader::open(scratch.path());
        if (!opened)
        {
            ASSERT_EQ(opened.error().kind, error_kind::invalid_input);
            ASSERT_TRUE(opened.error().text.starts_with(scratch.path() + ":"));
            ++rejected;
            continue;
        }
        read_with_every_getter(opened.value());
        const result<void> finished = opened.value().finish();
        // Fails always, because no value is a string, an integer and an array.
        ASSERT_FALSE(finished);
        ASSERT_EQ(finished.error().kind, error_kind::invalid_input);
    }
    EXPECT_GT(rejected, 0U);
}

} // namespace chicory
