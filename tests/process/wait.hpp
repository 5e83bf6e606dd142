#ifndef CHICORY_TESTS_PROCESS_WAIT_HPP
#define CHICORY_TESTS_PROCESS_WAIT_HPP

#include <chrono>
#include <functional>

namespace chicory::process
{

/// Time after which a condition counts as failed. It is long, so that the
/// result of a test does not depend on the load of the machine.
inline constexpr std::chrono::seconds condition_limit(60);

/// Polls a condition until it holds. Returns whether it held within the limit.
bool wait_until(
    const std::function<bool()>& condition,
    std::chrono::milliseconds limit = condition_limit);

} // namespace chicory::process

#endif
