#include "policy/membership/membership.hpp"
#include "tests/support/mutate.hpp"

#include <gtest/gtest.h>

namespace chicory::membership
{

TEST(gossip_fuzz, damaged_datagrams_end_in_a_value_or_a_typed_error)
{
    gossip_message message;
    message.sender = "entry-1";
    message.target = "entry-2";
    message.revision = 7;
    message.wanted = {"entry-3"};
    member_update told;
    told.id = "entry-4";
    told.details = vm{};
    message.updates = {told, told};
    const std::string whole = encode(message);
    std::mt19937_64 generator(20261204);
    std::uint64_t refused = 0;
    for (std::uint64_t round = 0; round < testing_support::fuzz_rounds();
         ++round)
    {
        const result<gossip_message> read =
            decode_gossip(testing_support::mutate(whole, generator));
        if (!read)
        {
            ASSERT_EQ(read.error().kind, error_kind::invalid_input);
            ++refused;
        }
    }
    EXPECT_GT(refused, 0U);
}

TEST(gossip_fuzz, a_flag_other_than_zero_and_one_is_refused)
{
    member_update told;
    told.id = "entry-4";
    gossip_message message;
    message.sender = "entry-1";
    message.updates = {told};
    const std::string without_details = encode(message);
    message.updates.front().details = vm{};
    std::string bytes = encode(message);
    // Behind the flag of the absent details is only the length of a list.
    const std::size_t flag = without_details.size() - 2;
    ASSERT_EQ(without_details[flag], '\0');
    ASSERT_EQ(bytes[flag], '\1');
    bytes[flag] = '\x4A';
    const result<gossip_message> read = decode_gossip(bytes);
    ASSERT_FALSE(read);
    EXPECT_EQ(read.error().kind, error_kind::invalid_input);
}

} // namespace chicory::membership
