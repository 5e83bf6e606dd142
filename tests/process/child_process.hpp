#ifndef CHICORY_TESTS_PROCESS_CHILD_PROCESS_HPP
#define CHICORY_TESTS_PROCESS_CHILD_PROCESS_HPP

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chicory::process
{

/// A process that the test started. The destructor kills it.
class child_process
{
public:
    /// Starts a program and appends its output to a file. Aborts the test
    /// program if the start fails.
    child_process(
        std::string program,
        std::vector<std::string> arguments,
        std::string output_file);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;

    /// Waits for the line `listening PORT` in the output and returns the port.
    /// Returns zero if the process ends first or the time limit passes.
    std::uint16_t wait_for_port();

    /// Sends a signal, such as SIGKILL, SIGSTOP, SIGCONT or SIGTERM.
    void signal(int number);

    /// Returns true while the process has not ended.
    bool is_running();

    /// Waits for the end of the process. Returns the exit code, or 128 plus the
    /// signal number.
    int wait();

    /// Returns the output of the process so far.
    std::string output() const;

    /// Returns the processor time used so far, in milliseconds.
    std::int64_t processor_ms() const;

    /// Returns the resident memory in KB: the current value and the peak.
    std::int64_t resident_kb() const;
    std::int64_t peak_resident_kb() const;

    /// Returns the number of open file descriptors.
    std::size_t open_descriptors() const;

    pid_t id() const;

private:
    void record_exit_status(int status);
    std::int64_t read_status_kb(const std::string& mark) const;

    std::string output_file;
    std::size_t output_offset;
    pid_t pid = -1;
    bool ended = false;
    int exit_code = 0;
};

} // namespace chicory::process

#endif
