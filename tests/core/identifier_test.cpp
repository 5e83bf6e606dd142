#include "core/core.hpp"

#include <gtest/gtest.h>

namespace chicory
{

TEST(identifier, consecutive_identifiers_differ_and_start_with_the_prefix)
{
    identifier_source source(7);
    const std::string first = source.next("job-");
    const std::string second = source.next("job-");
    EXPECT_NE(first, second);
    EXPECT_EQ(first.substr(0, 4), "job-");
    EXPECT_EQ(first.size(), 28U);
}

TEST(identifier, sha256_matches_the_published_value)
{
    EXPECT_EQ(
        sha256_hex("abc"),
        "ba7816bf8f01cfea414140de5dae2223"
        "b00361a396177a9cb410ff61f20015ad");
}

TEST(identifier, constant_time_comparison_distinguishes_equal_and_different)
{
    EXPECT_TRUE(equal_in_constant_time("secret", "secret"));
    EXPECT_FALSE(equal_in_constant_time("secret", "secres"));
    EXPECT_FALSE(equal_in_constant_time("secret", "secret-longer"));
}

} // namespace chicory
