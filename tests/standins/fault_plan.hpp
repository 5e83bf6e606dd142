#ifndef CHICORY_TESTS_STANDINS_FAULT_PLAN_HPP
#define CHICORY_TESTS_STANDINS_FAULT_PLAN_HPP

#include "core/core.hpp"

#include <boost/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>

namespace chicory::standin
{

/// How a service of the platform behaves.
enum class fault_mode
{
    up,
    down,
    slow,
    lose_answer,
    refuse,
};

inline constexpr enum_table<fault_mode, 5> fault_mode_names = {{
    {fault_mode::up, "up"},
    {fault_mode::down, "down"},
    {fault_mode::slow, "slow"},
    {fault_mode::lose_answer, "lose_answer"},
    {fault_mode::refuse, "refuse"},
}};

/// Fault that one call meets.
struct call_fault
{
    fault_mode mode = fault_mode::up;
    /// Delay before the call is handled.
    std::chrono::milliseconds delay{0};
};

/// The faults that are set for the services of the platform.
class fault_plan
{
public:
    /// The seed determines the random delays of slow calls.
    explicit fault_plan(std::uint64_t seed) : generator(seed)
    {
    }

    /// Applies the body of `POST /control/faults`. Throws std::exception if the
    /// body is malformed.
    void set(const boost::json::value& request);

    /// Returns the fault for the next call of a service and counts the call.
    /// `text` is the target and the body of the call; a fault with `match`
    /// applies only to calls whose text contains it.
    call_fault next_fault(const std::string& service, const std::string& text);

private:
    struct entry
    {
        call_fault fault;
        /// Number of calls that the fault still applies to; zero means no
        /// limit.
        std::int64_t remaining_calls = 0;
        std::string match;
    };

    std::map<std::string, entry> entries;
    std::mt19937_64 generator;
};

} // namespace chicory::standin

#endif
