#include "core/core.hpp"

#include <gtest/gtest.h>

#include <unistd.h>

#include <array>
#include <chrono>
#include <iostream>
#include <streambuf>

namespace chicory
{

namespace
{

/// Stands for a log file on a disk that may be full.
class fragile_buffer : public std::streambuf
{
public:
    bool full = false;
    std::string text;

protected:
    int_type overflow(int_type character) override
    {
        if (this->full)
        {
            return traits_type::eof();
        }
        this->text.push_back(traits_type::to_char_type(character));
        return character;
    }
};

/// Directs the log into a buffer for the time of one test. The names stay
/// empty, so that other tests of the program see lines without them.
class log_test : public testing::Test
{
protected:
    log_test() : former(std::clog.rdbuf(&this->buffer))
    {
    }

    ~log_test() override
    {
        std::clog.rdbuf(this->former);
    }

    bool shows(const std::string& part) const
    {
        return this->buffer.text.find(part) != std::string::npos;
    }

    fragile_buffer buffer;

private:
    std::streambuf* former;
};

TEST_F(log_test, writes_one_line_for_each_event)
{
    start_logging("", "", severity::info);
    log_event(event::listening, {{"port", 80}});
    EXPECT_TRUE(this->shows("Z info 104 listening port=80\n"))
        << this->buffer.text;
}

TEST_F(log_test, drops_events_below_its_level)
{
    start_logging("", "", severity::error);
    log_event(event::listening, {{"port", 80}});
    log_event(event::start_failed, {{"error", std::string("none")}});
    EXPECT_FALSE(this->shows("listening"));
    EXPECT_TRUE(this->shows("start_failed error=none")) << this->buffer.text;
}

TEST_F(log_test, goes_on_after_a_write_that_failed)
{
    start_logging("", "", severity::info);
    this->buffer.full = true;
    log_event(event::listening, {{"port", 80}});
    this->buffer.full = false;
    log_event(event::listening, {{"port", 81}});
    EXPECT_FALSE(this->shows("port=80"));
    EXPECT_TRUE(this->shows("port=81")) << this->buffer.text;
}

/// Logs to a pipe that nobody reads, then ends with success.
[[noreturn]] void log_to_broken_pipe()
{
    std::array<int, 2> ends{};
    if (pipe(ends.data()) != 0 || dup2(ends[1], STDERR_FILENO) < 0)
    {
        _exit(1);
    }
    close(ends[0]);
    start_logging("", "", severity::info);
    log_event(event::listening, {{"port", 80}});
    log_event(event::listening, {{"port", 81}});
    _exit(0);
}

TEST(log_death_test, the_process_outlives_the_reader_of_its_log)
{
    EXPECT_EXIT(log_to_broken_pipe(), testing::ExitedWithCode(0), "");
}

/// Logs into a pipe that nobody reads, far more than the pipe holds.
[[noreturn]] void log_to_stuck_reader()
{
    std::array<int, 2> ends{};
    if (pipe(ends.data()) != 0 || dup2(ends[1], STDOUT_FILENO) < 0)
    {
        _exit(1);
    }
    start_bounded_logging("", "", severity::info);
    const std::string text(2000, 'x');
    for (int value = 0; value < 60; ++value)
    {
        log_event(event::listening, {{"text", text}});
    }
    _exit(count_dropped_log_lines() > 0 ? 0 : 2);
}

TEST(log_death_test, a_reader_that_does_not_read_costs_lines_and_no_wait)
{
    EXPECT_EXIT(log_to_stuck_reader(), testing::ExitedWithCode(0), "");
}

TEST(log_budget_test, failures_have_room_when_served_requests_fill_theirs)
{
    const time_point start = time_point() + std::chrono::hours(1);
    log_budget budget;
    std::int64_t admitted = 0;
    for (int line = 0; line < 1000; ++line)
    {
        admitted +=
            budget.admit(start, event::request_completed, severity::info) ? 1
                                                                          : 0;
    }
    EXPECT_EQ(admitted, log_budget::info_lines);
    EXPECT_TRUE(budget.admit(start, event::request_failed, severity::warning));
    const auto left_out = budget.collect_dropped_lines(start);
    ASSERT_EQ(left_out.size(), 1U);
    EXPECT_EQ(left_out.front().value, event::request_completed);
    EXPECT_EQ(left_out.front().count, 1000 - log_budget::info_lines);
    EXPECT_TRUE(budget.admit(
        start + std::chrono::seconds(1),
        event::request_completed,
        severity::info));
    EXPECT_TRUE(
        budget.collect_dropped_lines(start + std::chrono::seconds(2)).empty());
}

} // namespace

} // namespace chicory
