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

/// A stream buffer that fails writes while `full` is set, like a log file on a
/// full disk.
class failing_buffer : public std::streambuf
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

/// Redirects the log to a buffer during each test. The program and VM names
/// stay empty, because other tests in this program expect lines without them.
class log_test : public testing::Test
{
protected:
    log_test() : previous_buffer(std::clog.rdbuf(&this->buffer))
    {
    }

    ~log_test() override
    {
        std::clog.rdbuf(this->previous_buffer);
    }

    bool contains(const std::string& part) const
    {
        return this->buffer.text.find(part) != std::string::npos;
    }

    failing_buffer buffer;

private:
    std::streambuf* previous_buffer;
};

TEST_F(log_test, writes_one_line_for_each_event)
{
    start_logging("", "", severity::info);
    log_event(event::listening, {{"port", 80}});
    EXPECT_TRUE(this->contains("Z info 104 listening port=80\n"))
        << this->buffer.text;
}

TEST_F(log_test, drops_events_below_its_level)
{
    start_logging("", "", severity::error);
    log_event(event::listening, {{"port", 80}});
    log_event(event::start_failed, {{"error", std::string("none")}});
    EXPECT_FALSE(this->contains("listening"));
    EXPECT_TRUE(this->contains("start_failed error=none")) << this->buffer.text;
}

TEST_F(log_test, continues_after_a_failed_write)
{
    start_logging("", "", severity::info);
    this->buffer.full = true;
    log_event(event::listening, {{"port", 80}});
    this->buffer.full = false;
    log_event(event::listening, {{"port", 81}});
    EXPECT_FALSE(this->contains("port=80"));
    EXPECT_TRUE(this->contains("port=81")) << this->buffer.text;
}

/// Logs to a pipe whose read end is closed, then exits with success. Guards
/// against a process that SIGPIPE ends when the reader of its log exits.
[[noreturn]] void log_to_closed_pipe()
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

TEST(log_death_test, process_survives_a_closed_log_pipe)
{
    EXPECT_EXIT(log_to_closed_pipe(), testing::ExitedWithCode(0), "");
}

/// Logs more than the capacity of a pipe that is open but never read. Guards
/// against a process that blocks on its log; exits with success if lines were
/// dropped instead.
[[noreturn]] void log_to_full_pipe()
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

TEST(log_death_test, full_log_pipe_drops_lines_without_blocking)
{
    EXPECT_EXIT(log_to_full_pipe(), testing::ExitedWithCode(0), "");
}

TEST(log_budget_test, warnings_are_admitted_after_info_lines_reach_their_limit)
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
    const auto dropped = budget.collect_dropped_lines(start);
    ASSERT_EQ(dropped.size(), 1U);
    EXPECT_EQ(dropped.front().value, event::request_completed);
    EXPECT_EQ(dropped.front().count, 1000 - log_budget::info_lines);
    EXPECT_TRUE(budget.admit(
        start + std::chrono::seconds(1),
        event::request_completed,
        severity::info));
    EXPECT_TRUE(
        budget.collect_dropped_lines(start + std::chrono::seconds(2)).empty());
}

} // namespace

} // namespace chicory
