#include "tests/process/child_process.hpp"

#include "tests/process/wait.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>
#include <utility>

extern char** environ;

namespace chicory::process
{

namespace
{

constexpr int signal_exit_base = 128;
constexpr std::int64_t ms_per_s = 1000;

std::string read_file(const std::string& name)
{
    std::ifstream file(name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

child_process::child_process(
    std::string program,
    std::vector<std::string> arguments,
    std::string output_name)
    : output_file(std::move(output_name)),
      output_offset(read_file(this->output_file).size())
{
    std::vector<char*> argument_pointers{program.data()};
    for (std::string& argument : arguments)
    {
        argument_pointers.push_back(argument.data());
    }
    argument_pointers.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(
        &actions,
        STDOUT_FILENO,
        this->output_file.c_str(),
        O_WRONLY | O_CREAT | O_APPEND,
        0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int failed = posix_spawn(
        &this->pid,
        program.c_str(),
        &actions,
        nullptr,
        argument_pointers.data(),
        environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0)
    {
        std::cerr << "start of " << program << " failed: " << failed << "\n";
        std::abort();
    }
}

child_process::~child_process()
{
    if (this->is_running())
    {
        this->signal(SIGKILL);
        this->wait();
    }
}

std::uint16_t child_process::wait_for_port()
{
    static const std::string mark = "listening ";
    std::uint16_t port = 0;
    wait_until(
        [this, &port]()
        {
            const std::string text = this->output();
            const std::size_t position = text.find(mark);
            if (position != std::string::npos &&
                text.find('\n', position) != std::string::npos)
            {
                port = static_cast<std::uint16_t>(
                    std::atoi(text.c_str() + position + mark.size()));
            }
            return port != 0 || !this->is_running();
        });
    return port;
}

void child_process::signal(int number)
{
    if (this->is_running())
    {
        ::kill(this->pid, number);
    }
}

bool child_process::is_running()
{
    int status = 0;
    if (!this->ended && ::waitpid(this->pid, &status, WNOHANG) == this->pid)
    {
        this->record_exit_status(status);
    }
    return !this->ended;
}

int child_process::wait()
{
    int status = 0;
    if (!this->ended && ::waitpid(this->pid, &status, 0) == this->pid)
    {
        this->record_exit_status(status);
    }
    return this->exit_code;
}

void child_process::record_exit_status(int status)
{
    this->ended = true;
    this->exit_code = WIFSIGNALED(status) ? signal_exit_base + WTERMSIG(status)
                                          : WEXITSTATUS(status);
}

std::string child_process::output() const
{
    const std::string text = read_file(this->output_file);
    return text.size() < this->output_offset ? text
                                             : text.substr(this->output_offset);
}

std::int64_t child_process::processor_ms() const
{
    // Fields 14 and 15 of the line are user and system time in clock ticks. The
    // process name in field 2 may contain blanks, so the count starts after it.
    const std::string line =
        read_file("/proc/" + std::to_string(this->pid) + "/stat");
    std::istringstream fields(line.substr(line.rfind(')') + 1));
    std::string skipped;
    for (int field = 3; field < 14; ++field)
    {
        fields >> skipped;
    }
    std::int64_t user = 0;
    std::int64_t system = 0;
    fields >> user >> system;
    return (user + system) * ms_per_s / ::sysconf(_SC_CLK_TCK);
}

std::int64_t child_process::resident_kb() const
{
    return this->read_status_kb("VmRSS:");
}

std::int64_t child_process::peak_resident_kb() const
{
    return this->read_status_kb("VmHWM:");
}

std::size_t child_process::open_descriptors() const
{
    const std::filesystem::directory_iterator entries(
        "/proc/" + std::to_string(this->pid) + "/fd");
    return static_cast<std::size_t>(
        std::distance(begin(entries), end(entries)));
}

std::int64_t child_process::read_status_kb(const std::string& mark) const
{
    const std::string text =
        read_file("/proc/" + std::to_string(this->pid) + "/status");
    const std::size_t position = text.find(mark);
    return position == std::string::npos
               ? 0
               : std::atoll(text.c_str() + position + mark.size());
}

pid_t child_process::id() const
{
    return this->pid;
}

} // namespace chicory::process
