#include "policy/configuration/configuration.hpp"
#include "tests/support/mutate.hpp"

#include <gtest/gtest.h>

namespace chicory::configuration
{

namespace
{

/// Decodes damaged forms of an encoded row. Each must give a typed error or a
/// value that is unchanged after encoding and decoding it again.
template <class Decode, class Encode>
void check_damaged_rows(const std::string& intact, Decode decode, Encode encode)
{
    std::mt19937_64 generator(20261204);
    std::uint64_t refused = 0;
    std::uint64_t accepted = 0;
    ASSERT_TRUE(decode(intact).has_value());
    for (std::uint64_t round = 0; round < testing_support::fuzz_rounds();
         ++round)
    {
        const std::string bytes = testing_support::mutate(intact, generator);
        const auto decoded = decode(bytes);
        if (!decoded)
        {
            ASSERT_EQ(decoded.error().kind, error_kind::invalid_input);
            ASSERT_FALSE(decoded.error().text.empty());
            ++refused;
            continue;
        }
        const auto decoded_again = decode(encode(decoded.value()));
        ASSERT_TRUE(decoded_again.has_value()) << bytes;
        ASSERT_EQ(decoded_again.value(), decoded.value()) << bytes;
        ++accepted;
    }
    EXPECT_GT(refused, 0U);
    EXPECT_GT(accepted, 0U);
}

route make_route()
{
    route value;
    value.name = "letters";
    value.member = "kremstal";
    value.pool = "llm";
    value.key_digests = {std::string(64, 'a'), std::string(64, 'b')};
    return value;
}

} // namespace

TEST(row_fuzz, damaged_routes_give_a_route_or_a_typed_error)
{
    check_damaged_rows(
        encode_route(make_route()),
        [](const std::string& bytes)
        {
            return decode_route("letters", bytes, 7);
        },
        encode_route);
}

TEST(row_fuzz, damaged_pools_give_a_pool_or_a_typed_error)
{
    pool value;
    value.name = "llm";
    value.service = "inkasso-llm";
    value.wanted_models = {{"small", 2}, {"large", 12}};
    check_damaged_rows(
        encode_pool(value),
        [](const std::string& bytes)
        {
            return decode_pool("llm", bytes, 7);
        },
        encode_pool);
}

TEST(row_fuzz, damaged_revisions_give_a_revision_or_a_typed_error)
{
    revision_row value;
    value.revision = 41;
    value.operation_id = "op-1";
    check_damaged_rows(
        encode_revision(value),
        [](const std::string& bytes)
        {
            return decode_revision(bytes, 7);
        },
        encode_revision);
}

TEST(row_fuzz, damaged_history_gives_an_entry_or_a_typed_error)
{
    history_entry value;
    value.revision = 41;
    value.operator_name = "anna";
    value.operation_id = "op-1";
    value.time_ms = 1700000000000;
    value.key = route_key("letters");
    value.after = encode_route(make_route());
    check_damaged_rows(
        encode_history(value),
        [](const std::string& bytes)
        {
            return decode_history(bytes);
        },
        encode_history);
}

} // namespace chicory::configuration
