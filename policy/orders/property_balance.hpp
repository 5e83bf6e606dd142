#ifndef CHICORY_POLICY_ORDERS_PROPERTY_BALANCE_HPP
#define CHICORY_POLICY_ORDERS_PROPERTY_BALANCE_HPP

#include <cstdint>
#include <map>
#include <string>

namespace chicory::orders
{

/// How freely a runner can be given to another value; higher is freer.
enum class donor_rank
{
    none,
    /// From a value that is no worse off afterwards.
    shared,
    /// From a value that has too many.
    surplus,
    /// From a value that nobody wants.
    unwanted,
};

/// How many runners have each value of a property, such as the model, and how
/// many are wanted.
class property_balance
{
public:
    explicit property_balance(std::map<std::string, std::int64_t> target);

    void add(const std::string& value);
    void move(const std::string& from, const std::string& to);

    std::int64_t wanted_of(const std::string& value) const;

    /// Returns the wanted value that is shortest of runners in proportion;
    /// empty when none is short.
    std::string find_scarcest_value() const;

    donor_rank rank(const std::string& from, const std::string& to) const;

private:
    std::int64_t held_of(const std::string& value) const;

    std::map<std::string, std::int64_t> wanted;
    std::map<std::string, std::int64_t> held;
};

} // namespace chicory::orders

#endif
