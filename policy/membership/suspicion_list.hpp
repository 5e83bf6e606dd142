#ifndef CHICORY_POLICY_MEMBERSHIP_SUSPICION_LIST_HPP
#define CHICORY_POLICY_MEMBERSHIP_SUSPICION_LIST_HPP

#include "policy/membership/member_table.hpp"

#include <map>
#include <random>
#include <string>
#include <vector>

namespace chicory::membership
{

/// Suspected cluster members, each with the deadline to refute the suspicion.
class suspicion_list
{
public:
    explicit suspicion_list(duration initial_refutation_time);

    /// Adds a member; a member that is already suspected keeps its deadline.
    void add(const std::string& id, time_point now);

    void remove(const std::string& id);
    void clear();

    /// Postpones all deadlines by the given time.
    void extend(duration extension);

    /// Removes members that the table no longer shows as suspect or leaving,
    /// and removes and returns the members whose deadline has passed.
    std::vector<std::string>
    remove_expired(const member_table& members, time_point now);

    /// Returns a random suspected member, or an empty string if there is none.
    std::string choose(std::mt19937_64& generator) const;

private:
    duration refutation_time;
    /// Members with the time at which they are declared dead.
    std::map<std::string, time_point> suspects;
};

} // namespace chicory::membership

#endif
