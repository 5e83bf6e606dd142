#include "policy/membership/membership.hpp"
#include "tests/support/mutate.hpp"

#include <gtest/gtest.h>

namespace chicory::membership
{

TEST(gossip_fuzz, damaged_datagrams_decode_or_return_a_typed_error)
{
    gossip_message message;
    message.sender = "entry-1";
    message.target = "entry-2";
    message.revision = 7;
    message.detail_requests = {"entry-3"};
    member_update update;
    update.id = "entry-4";
    update.details = vm{};
    message.updates = {update, update};
    const std::string whole = encode(message);
    std::mt19937_64 generator(20261204);
    std::uint64_t refused = 0;
    for (std::uint64_t round = 0; round < testing_support::fuzz_rounds();
         ++round)
    {
        const result<gossip_message> decoded =
            decode_gossip(testing_support::mutate(whole, generator));
        if (!decoded)
        {
            ASSERT_EQ(decoded.error().kind, error_kind::invalid_input);
            ++refused;
        }
    }
    EXPECT_GT(refused, 0U);
}

TEST(gossip_fuzz, flag_other_than_zero_or_one_is_rejected)
{
    member_update update;
    update.id = "entry-4";
    gossip_message message;
    message.sender = "entry-1";
    message.updates = {update};
    const std::string without_details = encode(message);
    message.updates.front().details = vm{};
    std::string bytes = encode(message);
    // Only the length of one list follows the flag for absent details.
    const std::size_t flag = without_details.size() - 2;
    ASSERT_EQ(without_details[flag], '\0');
    ASSERT_EQ(bytes[flag], '\1');
    bytes[flag] = '\x4A';
    const result<gossip_message> decoded = decode_gossip(bytes);
    ASSERT_FALSE(decoded);
    EXPECT_EQ(decoded.error().kind, error_kind::invalid_input);
}

} // namespace chicory::membership
