#include "policy/online/online.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace chicory::online
{

TEST(response_assembler, is_open_without_an_explicit_end)
{
    response_assembler response(1);
    EXPECT_EQ(response.add(1, 0, "abc"), "abc");
    EXPECT_EQ(response.state(), response_state::open);
    response.end(1, 3);
    EXPECT_EQ(response.state(), response_state::complete);
}

TEST(response_assembler, drops_frames_of_other_attempts)
{
    response_assembler response(2);
    EXPECT_EQ(response.add(1, 0, "old"), "");
    response.end(1, 0);
    EXPECT_EQ(response.state(), response_state::open);
    EXPECT_EQ(response.add(2, 0, "x"), "x");
}

TEST(response_assembler, a_length_below_the_received_bytes_is_inconsistent)
{
    response_assembler response(1);
    response.add(1, 0, "abcd");
    response.end(1, 3);
    EXPECT_EQ(response.state(), response_state::inconsistent);
}

RC_GTEST_PROP(response_assembler, frames_in_any_order_return_each_byte_once, ())
{
    const std::string full_response =
        *rc::gen::container<std::string>(200, rc::gen::inRange<char>('a', 'z'));
    response_assembler response(1);
    std::string received;
    const auto send = [&](std::uint64_t offset, std::uint64_t size)
    {
        received += response.add(
            1, offset, std::string_view(full_response).substr(offset, size));
    };
    const int frames = *rc::gen::inRange(0, 40);
    for (int i = 0; i < frames; ++i)
    {
        const auto offset = *rc::gen::inRange<std::uint64_t>(0, 200);
        send(offset, *rc::gen::inRange<std::uint64_t>(1, 50));
        const auto other_offset = *rc::gen::inRange<std::uint64_t>(0, 200);
        RC_ASSERT(response.add(2, other_offset, "##").empty());
        if (*rc::gen::inRange(0, 20) == 0)
        {
            response.end(1, full_response.size());
        }
    }
    RC_ASSERT(received == full_response.substr(0, response.resume_offset()));
    RC_ASSERT(
        (response.state() == response_state::complete) <=
        (received == full_response));
    send(response.resume_offset(), 200);
    response.end(1, full_response.size());
    RC_ASSERT(received == full_response);
    RC_ASSERT(response.state() == response_state::complete);
}

} // namespace chicory::online
