#ifndef CHICORY_TESTS_PROCESS_CHILD_PROCESS_HPP
#define CHICORY_TESTS_PROCESS_CHILD_PROCESS_HPP

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chicory::process
{

/// A process that the test started. It is killed when the object goes.
class child_process
{
public:
    /// Starts a program; its output is appended to a file. Stops the test
    /// program when that is impossible.
    child_process(
        std::string program,
        std::vector<std::string> arguments,
        std::string output_file);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Waits for the line `listening PORT` and returns the port; zero when
    /// the process ended before.
    std::uint16_t wait_for_port();

    /// Sends a signal, such as SIGKILL, SIGSTOP, SIGCONT or SIGTERM.
    void signal(int number);

    /// True while the process has not ended.
    bool is_running();

    /// Waits for the end and returns the exit code, or 128 and the signal.
    int wait();

    /// Returns the text that the process has written so far.
    std::string output() const;

    /// Returns the processor time used so far in milliseconds.
    std::int64_t processor_ms() const;

    /// Returns the resident memory in KB: now, and at its peak.
    std::int64_t resident_kb() const;
    std::int64_t peak_resident_kb() const;

    /// Returns the number of open descriptors.
    std::size_t open_descriptors() const;

    pid_t id() const;

private:
    void take_status(int status);
    std::int64_t read_status_kb(const std::string& mark) const;

    std::string output_file;
    std::size_t first_output;
    pid_t pid = -1;
    bool ended = false;
    int exit_code = 0;
};

} // namespace chicory::process

#endif
