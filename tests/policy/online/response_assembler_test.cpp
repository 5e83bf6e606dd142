#include "policy/online/online.hpp"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

namespace chicory::online
{

TEST(response_assembler, is_open_without_an_explicit_end)
{
    response_assembler answer(1);
    EXPECT_EQ(answer.add(1, 0, "abc"), "abc");
    EXPECT_EQ(answer.state(), response_state::open);
    answer.end(1, 3);
    EXPECT_EQ(answer.state(), response_state::complete);
}

TEST(response_assembler, drops_what_belongs_to_other_attempts)
{
    response_assembler answer(2);
    EXPECT_EQ(answer.add(1, 0, "old"), "");
    answer.end(1, 0);
    EXPECT_EQ(answer.state(), response_state::open);
    EXPECT_EQ(answer.add(2, 0, "x"), "x");
}

TEST(response_assembler, a_length_that_contradicts_the_bytes_is_no_answer)
{
    response_assembler answer(1);
    answer.add(1, 0, "abcd");
    answer.end(1, 3);
    EXPECT_EQ(answer.state(), response_state::inconsistent);
}

RC_GTEST_PROP(response_assembler, any_order_of_frames_gives_the_bytes_once, ())
{
    const std::string whole =
        *rc::gen::container<std::string>(200, rc::gen::inRange<char>('a', 'z'));
    response_assembler answer(1);
    std::string got;
    const auto send = [&](std::uint64_t offset, std::uint64_t size)
    {
        got +=
            answer.add(1, offset, std::string_view(whole).substr(offset, size));
    };
    const int frames = *rc::gen::inRange(0, 40);
    for (int i = 0; i < frames; ++i)
    {
        const auto offset = *rc::gen::inRange<std::uint64_t>(0, 200);
        send(offset, *rc::gen::inRange<std::uint64_t>(1, 50));
        const auto foreign = *rc::gen::inRange<std::uint64_t>(0, 200);
        RC_ASSERT(answer.add(2, foreign, "##").empty());
        if (*rc::gen::inRange(0, 20) == 0)
        {
            answer.end(1, whole.size());
        }
    }
    RC_ASSERT(got == whole.substr(0, answer.resume_offset()));
    RC_ASSERT((answer.state() == response_state::complete) <= (got == whole));
    send(answer.resume_offset(), 200);
    answer.end(1, whole.size());
    RC_ASSERT(got == whole);
    RC_ASSERT(answer.state() == response_state::complete);
}

} // namespace chicory::online
