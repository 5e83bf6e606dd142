#ifndef CHICORY_POLICY_ORDERS_PROPERTY_BALANCE_HPP
#define CHICORY_POLICY_ORDERS_PROPERTY_BALANCE_HPP

#include <cstdint>
#include <map>
#include <string>

namespace chicory::orders
{

/// Preference for moving a runner from one value to another; higher is better.
enum class donor_rank
{
    /// The runner must not be moved.
    none,
    /// From a value that is still covered at least as well as the new value.
    shared,
    /// From a value with more runners than requested.
    surplus,
    /// From a value for which no runner is requested.
    unwanted,
};

/// The number of runners with each value of a property, such as the model, and
/// the requested number for each value.
class property_balance
{
public:
    explicit property_balance(
        std::map<std::string, std::int64_t> requested_counts);

    /// Counts a runner with a value.
    void add(const std::string& value);
    /// Moves a runner from one value to another.
    void move(const std::string& from, const std::string& to);

    /// Returns the number of runners requested for a value.
    std::int64_t requested_count(const std::string& value) const;

    /// Returns the value with the lowest ratio of actual to requested runners
    /// among those with fewer runners than requested; empty when there is none.
    std::string find_scarcest_value() const;

    /// Returns the preference for moving a runner between two values.
    donor_rank rank(const std::string& from, const std::string& to) const;

private:
    std::int64_t actual_count(const std::string& value) const;

    std::map<std::string, std::int64_t> requested;
    std::map<std::string, std::int64_t> actual;
};

} // namespace chicory::orders

#endif
