#include "policy/configuration/configuration.hpp"

#include <gtest/gtest.h>

namespace chicory::configuration
{
namespace
{

TEST(row_codec, returns_the_route_that_was_encoded)
{
    route value;
    value.name = "reminders";
    value.member = "kremstal";
    value.pool = "inkasso";
    value.key_digests = {std::string(64, 'a')};
    value.max_in_progress = 7;
    value.revision = 4;
    const result<route> decoded =
        decode_route("reminders", encode_route(value), 4);
    ASSERT_TRUE(decoded.has_value()) << decoded.error().text;
    EXPECT_EQ(decoded.value(), value);
}

TEST(row_codec, returns_the_pool_that_was_encoded)
{
    pool value;
    value.name = "inkasso";
    value.service = "inkasso-llm";
    value.kind = pool_kind::plain_service;
    value.wanted_models = {{"letters-v2", 9}, {"letters-v1", 5}};
    value.wanted_versions = {{"letters-v2", "2026-11"}};
    value.wanted_adapters = {{"letters-v2", {"reminder", "dunning"}}};
    value.wanted_roles = {{runner_role::prefill, 4}, {runner_role::decode, 10}};
    value.engines_check_fencing = true;
    value.revision = 2;
    const result<pool> decoded = decode_pool("inkasso", encode_pool(value), 2);
    ASSERT_TRUE(decoded.has_value()) << decoded.error().text;
    EXPECT_EQ(decoded.value(), value);
}

TEST(row_codec, error_names_row_field_expected_and_found)
{
    const result<route> decoded =
        decode_route("reminders", R"({"max_in_progress":"many"})", 1);
    ASSERT_FALSE(decoded.has_value());
    EXPECT_EQ(
        decoded.error().text,
        "row config/route/reminders, field max_in_progress: expected a whole "
        "number, found \"many\"");
}

TEST(row_codec, error_describes_invalid_wanted_fields)
{
    const auto decode_error_text = [](std::string_view text)
    {
        const result<pool> decoded = decode_pool("a", text, 1);
        return decoded ? std::string() : decoded.error().text;
    };
    EXPECT_EQ(
        decode_error_text(R"({"wanted_roles":{"router":1}})"),
        "row config/pool/a, field wanted_roles: expected mixed, prefill or "
        "decode, found router");
    EXPECT_EQ(
        decode_error_text(R"({"wanted_versions":{"m":2}})"),
        "row config/pool/a, field wanted_versions: expected an object of "
        "strings, found {\"m\":2}");
    EXPECT_EQ(
        decode_error_text(R"({"wanted_adapters":{"m":"x"}})"),
        "row config/pool/a, field wanted_adapters: expected an object of "
        "arrays of strings, found {\"m\":\"x\"}");
}

TEST(validation, refuses_requirements_that_no_runner_can_meet)
{
    pool value;
    value.name = "a";
    value.service = "engines";
    value.wanted_models = {{"m", 4}};
    value.wanted_versions = {{"m", "v2"}};
    value.wanted_adapters = {{"m", {"x"}}};
    value.wanted_roles = {{runner_role::prefill, 2}, {runner_role::decode, 2}};
    EXPECT_TRUE(validate_pool(value).has_value());
    value.wanted_roles.erase(runner_role::decode);
    EXPECT_EQ(
        validate_pool(value).error().text,
        "row config/pool/a, field wanted_roles: expected prefill and decode "
        "runners together, or mixed ones, found 2 prefill and 0 decode "
        "runners");
    value.wanted_roles.clear();
    value.wanted_versions = {{"other", "v2"}};
    EXPECT_EQ(
        validate_pool(value).error().text,
        "row config/pool/a, field wanted_versions: expected a model of "
        "wanted_models, found \"other\"");
    value.wanted_versions.clear();
    value.wanted_adapters = {{"m", {"no name"}}};
    EXPECT_FALSE(validate_pool(value).has_value());
    value.wanted_adapters = {{"m", std::vector<std::string>(257, "x")}};
    EXPECT_FALSE(validate_pool(value).has_value());
}

TEST(row_codec, refuses_unknown_fields_and_other_names)
{
    EXPECT_FALSE(decode_route("a", R"({"pol":"x"})", 1).has_value());
    EXPECT_FALSE(decode_route("a", R"({"name":"b"})", 1).has_value());
    EXPECT_FALSE(decode_pool("a", R"({"kind":"engine"})", 1).has_value());
    EXPECT_FALSE(decode_pool("a", "[]", 1).has_value());
    EXPECT_FALSE(decode_revision(R"({"revision":0})", 1).has_value());
}

TEST(row_keys, sort_by_revision)
{
    EXPECT_LT(history_key(9), history_key(10));
    EXPECT_EQ(history_key(9), "config/history/000000000009");
}

} // namespace
} // namespace chicory::configuration
