#include "policy/serving/serving.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>

namespace chicory::serving
{

namespace
{

organisation
make_organisation(const std::string& name, const std::vector<std::string>& keys)
{
    organisation made;
    made.name = name;
    for (const std::string& key : keys)
    {
        made.keys.push_back(*digest_key(key));
    }
    return made;
}

std::string find_name_by_key(
    const organisation_directory& directory, const std::string& key)
{
    const organisation* found = directory.find_by_key(*digest_key(key));
    return found == nullptr ? std::string() : found->name;
}

} // namespace

TEST(organisations, any_key_of_an_organisation_identifies_it)
{
    const organisation_directory directory(
        {make_organisation("north", {"k1", "k2"}),
         make_organisation("south", {"k3"})});
    EXPECT_TRUE(directory.is_active());
    EXPECT_EQ(find_name_by_key(directory, "k1"), "north");
    EXPECT_EQ(find_name_by_key(directory, "k2"), "north");
    EXPECT_EQ(find_name_by_key(directory, "k3"), "south");
    EXPECT_EQ(find_name_by_key(directory, "k4"), "");
    ASSERT_NE(directory.find_by_name("south"), nullptr);
    EXPECT_EQ(directory.find_by_name("east"), nullptr);
}

// Without organisations, every request would otherwise need a key.
TEST(organisations, a_configuration_without_organisations_is_not_active)
{
    const organisation_directory directory;
    EXPECT_FALSE(directory.is_active());
    EXPECT_EQ(directory.find_by_key(*digest_key("k")), nullptr);
    EXPECT_EQ(directory.find_by_name("north"), nullptr);
    EXPECT_TRUE(directory.all().empty());
}

// A removed last organisation must not open the fleet to everyone.
TEST(organisations, an_empty_list_makes_no_key_valid)
{
    const organisation_directory directory(std::vector<organisation>{});
    EXPECT_TRUE(directory.is_active());
    EXPECT_EQ(directory.size(), 0U);
}

// A key that was copied into a second entry would run requests of one
// organisation under the name of another.
TEST(organisations, a_key_of_two_organisations_belongs_to_neither)
{
    const organisation_directory directory(
        {make_organisation("north", {"shared", "own"}),
         make_organisation("south", {"shared"}),
         make_organisation("east", {"shared"}),
         make_organisation("", {"own-of-invalid"}),
         make_organisation("west", {"own-of-invalid"})});
    EXPECT_EQ(find_name_by_key(directory, "shared"), "");
    EXPECT_EQ(find_name_by_key(directory, "own-of-invalid"), "");
    EXPECT_EQ(find_name_by_key(directory, "own"), "north");
    EXPECT_FALSE(directory.problems().empty());
}

TEST(organisations, a_repeated_name_keeps_the_first_entry)
{
    const organisation_directory directory(
        {make_organisation("north", {"k1"}),
         make_organisation("north", {"k1", "k2"}),
         make_organisation("south", {"k2"})});
    EXPECT_EQ(directory.size(), 2U);
    EXPECT_EQ(find_name_by_key(directory, "k1"), "north");
    EXPECT_EQ(find_name_by_key(directory, "k2"), "");
}

// A name with a line break would add a header to the request to a runner.
TEST(organisations, names_that_no_header_can_carry_are_left_out)
{
    const organisation_directory directory(
        {make_organisation("a\r\nX-Role: root", {"k1"}),
         make_organisation(std::string(257, 'n'), {"k2"}),
         make_organisation(" padded", {"k3"}),
         make_organisation(std::string("a\0b", 3), {"k4"})});
    EXPECT_EQ(directory.size(), 0U);
    EXPECT_EQ(find_name_by_key(directory, "k1"), "");
}

TEST(organisations, invalid_limits_count_as_no_limit)
{
    organisation entry = make_organisation("north", {"k"});
    entry.rate_per_s = -1;
    entry.burst = std::numeric_limits<double>::quiet_NaN();
    const organisation_directory directory({entry});
    ASSERT_EQ(directory.size(), 1U);
    EXPECT_EQ(directory.all().front().rate_per_s, 0);
    EXPECT_EQ(directory.all().front().burst, 0);
}

TEST(organisations, the_number_of_problems_is_bounded)
{
    std::vector<organisation> entries(1000);
    const organisation_directory directory(std::move(entries));
    EXPECT_EQ(
        directory.problems().size(), organisation_directory::max_problems);
}

TEST(organisations, empty_and_long_keys_have_no_digest)
{
    EXPECT_FALSE(digest_key(""));
    EXPECT_TRUE(digest_key(std::string(256, 'k')));
    EXPECT_FALSE(digest_key(std::string(257, 'k')));
}

// The digest must agree on both architectures and with other tools.
TEST(organisations, digests_are_sha256)
{
    EXPECT_EQ(abbreviate(*digest_key("abc")), "ba7816bf8f01");
}

} // namespace chicory::serving
