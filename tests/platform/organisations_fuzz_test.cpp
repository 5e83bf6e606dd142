#include "platform/platform.hpp"
#include "tests/support/mutate.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <random>
#include <set>
#include <string>

namespace chicory::platform
{

namespace
{

constexpr std::string_view document =
    R"({"version":3,"routes":[{"name":"r","host":"h","prefix":"/x/",
    "service":"s","public":true}],"tenants":[{"name":"north",
    "api_keys":["secret-a","secret-b"],"priority":0,"rate_per_s":12.5,
    "burst":40},{"name":"south","api_keys":["secret-c"],"priority":2},
    {"name":"north","api_keys":["secret-d"]},
    {"name":"west","api_keys":["secret-c","",7,null],"rate_per_s":-1}]})";

/// Returns the directory of a configuration with this value of the list of
/// organisations.
serving::organisation_directory read_directory(const std::string& list)
{
    const auto read = read_configuration(
        R"({"version":1,"routes":[],"tenants":)" + list + "}");
    EXPECT_TRUE(read);
    return read ? read.value().organisations
                : serving::organisation_directory();
}

} // namespace

// Damaged organisations must end in a value or a typed error; a key must not
// belong to an organisation that shares it, and no text may contain a key.
TEST(organisations_fuzz, damaged_organisations_end_in_a_consistent_directory)
{
    std::mt19937_64 generator(20261204);
    std::uint64_t accepted = 0;
    for (std::uint64_t round = 0; round < testing_support::fuzz_rounds();
         ++round)
    {
        const auto read = read_configuration(
            testing_support::mutate(std::string(document), generator));
        if (!read)
        {
            ASSERT_EQ(read.error().kind, error_kind::invalid_input);
            ASSERT_EQ(read.error().text.find("secret-"), std::string::npos);
            continue;
        }
        ++accepted;
        const serving::organisation_directory& found =
            read.value().organisations;
        std::map<serving::key_digest, std::set<std::string>> owners;
        std::set<std::string> names;
        for (const serving::organisation& entry : found.all())
        {
            ASSERT_TRUE(names.insert(entry.name).second);
            ASSERT_FALSE(entry.name.empty());
            ASSERT_GE(entry.rate_per_s, 0);
            ASSERT_GE(entry.burst, 0);
            ASSERT_EQ(found.find_by_name(entry.name)->name, entry.name);
            for (const serving::key_digest& key : entry.keys)
            {
                owners[key].insert(entry.name);
            }
        }
        for (const auto& [key, holders] : owners)
        {
            const serving::organisation* owner = found.find_by_key(key);
            ASSERT_TRUE(owner == nullptr || holders.size() == 1);
        }
        for (const std::string& problem : found.problems())
        {
            ASSERT_EQ(problem.find("secret-"), std::string::npos);
        }
    }
    EXPECT_GT(accepted, 0U);
}

TEST(organisations_fuzz, values_of_any_type_are_accepted)
{
    for (const char* list :
         {"[]",
          "{}",
          "7",
          "\"x\"",
          "[[]]",
          "[null]",
          "[{}]",
          R"([{"name":7,"api_keys":"k"}])",
          R"([{"name":"n","api_keys":[["k"]],"priority":"high"}])",
          R"([{"name":"n","api_keys":{"a":1},"burst":1e308}])"})
    {
        EXPECT_TRUE(read_directory(list).is_active()) << list;
    }
    EXPECT_FALSE(read_directory("null").is_active());
}

TEST(organisations_fuzz, fields_are_decoded)
{
    const auto read = read_configuration(document);
    ASSERT_TRUE(read);
    const serving::organisation_directory& found = read.value().organisations;
    ASSERT_EQ(found.size(), 3U);
    EXPECT_EQ(found.all()[0].priority, 0);
    EXPECT_EQ(found.all()[0].rate_per_s, 12.5);
    EXPECT_EQ(found.all()[0].burst, 40);
    EXPECT_EQ(found.all()[2].rate_per_s, 0);
    EXPECT_EQ(found.all()[2].invalid_values, 3U);
    EXPECT_EQ(
        found.find_by_key(*serving::digest_key("secret-b"))->name, "north");
    EXPECT_EQ(found.find_by_key(*serving::digest_key("secret-c")), nullptr);
    EXPECT_TRUE(read.value().routes[0].is_public);
    EXPECT_FALSE(read_configuration(R"({"version":1,"routes":[]})")
                     .value()
                     .organisations.is_active());
}

} // namespace chicory::platform
