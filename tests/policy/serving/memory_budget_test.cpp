#include "policy/serving/serving.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <random>
#include <vector>

namespace chicory::serving
{

namespace
{

constexpr std::size_t kb = std::size_t(1) << 10U;
constexpr std::size_t usual_body = 900 * kb;

/// A body that arrives in pieces.
struct arriving_body
{
    std::size_t received = 0;
    bool refused = false;
};

// Guards against bodies that are counted only when they are whole: callers that
// send slowly fill the memory before the first body is complete.
TEST(memory_budget, bodies_that_arrive_slowly_never_exceed_the_limit)
{
    memory_budget budget(divide_memory(64));
    std::vector<arriving_body> bodies;
    std::size_t complete = 0;
    while (budget.admits_request(usual_body) && bodies.size() < 500)
    {
        ASSERT_TRUE(budget.reserve_body(request_overhead));
        bodies.emplace_back();
    }
    // Callers that have sent nothing yet hold nothing but their overhead.
    EXPECT_EQ(bodies.size(), 500U);
    std::minstd_rand random(7);
    std::size_t open = bodies.size();
    while (open > 0)
    {
        arriving_body& body = bodies[random() % bodies.size()];
        if (body.refused || body.received == usual_body)
        {
            continue;
        }
        const std::size_t piece = std::min(4 * kb, usual_body - body.received);
        if (budget.reserve_body(piece))
        {
            body.received += piece;
        }
        else
        {
            body.refused = true;
        }
        ASSERT_LE(budget.body_bytes(), budget.limits().bodies);
        if (body.refused || body.received == usual_body)
        {
            complete += body.refused ? 0 : 1;
            budget.release_body(body.received + request_overhead);
            --open;
        }
    }
    EXPECT_GT(complete, 0U);
    EXPECT_EQ(budget.body_bytes(), 0U);
}

// Guards against new requests that take the memory which the admitted ones need
// for the rest of their bodies.
TEST(memory_budget, new_requests_are_refused_before_those_that_are_arriving)
{
    memory_budget budget(divide_memory(64));
    std::size_t admitted = 0;
    while (budget.admits_request(usual_body))
    {
        ASSERT_TRUE(budget.reserve_body(usual_body + request_overhead));
        ++admitted;
    }
    EXPECT_GT(admitted, 10U);
    EXPECT_TRUE(budget.reserve_body(usual_body));
    budget.release_body(2 * (usual_body + request_overhead));
    EXPECT_TRUE(budget.admits_request(usual_body));
}

// Guards against a length of a body whose sum with the others wraps around.
TEST(memory_budget, a_huge_declared_length_is_refused)
{
    const memory_budget budget(divide_memory(1 << 20));
    EXPECT_FALSE(budget.admits_request(~std::size_t(0)));
    EXPECT_TRUE(budget.admits_request(0));
}

// Guards against many requests without a body, each of which needs memory too.
TEST(memory_budget, the_number_of_requests_is_bounded)
{
    memory_budget budget(divide_memory(160));
    std::size_t admitted = 0;
    while (budget.admits_request(0) && admitted < 100000)
    {
        ASSERT_TRUE(budget.reserve_body(request_overhead));
        ++admitted;
    }
    EXPECT_LT(admitted, 100000U);
    EXPECT_GT(admitted, 1000U);
}

// Guards against one slow caller that holds a whole response, and against slow
// callers whose responses together exceed the memory.
TEST(memory_budget, reading_pauses_for_slow_callers_and_goes_on_for_others)
{
    constexpr std::size_t piece = 16 * kb;
    memory_budget budget(divide_memory(64));
    std::vector<std::size_t> unread(1000, 0);
    bool has_read = true;
    while (has_read)
    {
        has_read = false;
        for (std::size_t& bytes : unread)
        {
            if (budget.may_read(bytes))
            {
                budget.change_unread(bytes, bytes + piece);
                bytes += piece;
                has_read = true;
            }
            ASSERT_LT(bytes, budget.limits().one_response + piece);
        }
    }
    // Each response holds at least one piece, above which the limit applies.
    EXPECT_LE(
        budget.unread_bytes(),
        budget.limits().responses + unread.size() * piece);
    EXPECT_FALSE(budget.has_response_capacity());
    EXPECT_TRUE(budget.may_read(0));
    for (std::size_t& bytes : unread)
    {
        budget.change_unread(bytes, 0);
    }
    EXPECT_EQ(budget.unread_bytes(), 0U);
    EXPECT_TRUE(budget.may_read(piece));
    EXPECT_FALSE(budget.may_read(budget.limits().one_response));
}

} // namespace

} // namespace chicory::serving
