#ifndef CHICORY_POLICY_ONLINE_OWNER_MAP_HPP
#define CHICORY_POLICY_ONLINE_OWNER_MAP_HPP

#include <map>
#include <string>
#include <vector>

namespace chicory::online
{

/// A VM with its region and availability zone.
struct placed_vm
{
    std::string id;
    std::string region;
    std::string zone;
};

/// A change of a runner's owner. An empty name means no owner.
struct owner_change
{
    std::string runner;
    std::string previous;
    std::string current;

    bool operator==(const owner_change&) const = default;
};

/// Assigns each runner one owner among the entry VMs by rendezvous hashing. VMs
/// in the runner's availability zone are preferred to those of its region, and
/// these to all others. Equal lists of VMs give the same owners on every VM.
class owner_map
{
public:
    /// Updates the owners for the entry VMs that accept work and the runners in
    /// service. Returns each runner whose owner changed, including removed
    /// runners.
    std::vector<owner_change> update(
        const std::vector<placed_vm>& entries,
        const std::vector<placed_vm>& runners);

    /// Returns the identifier of the owner, or an empty string without an
    /// owner.
    std::string owner_of(const std::string& runner) const;

    /// Returns the runners that an entry VM owns.
    std::vector<std::string> owned_by(const std::string& entry) const;

private:
    std::map<std::string, std::string> owners;
};

/// Returns the identifier of the owner of a runner among the entry VMs, or an
/// empty string without entry VMs.
std::string
choose_owner(const placed_vm& runner, const std::vector<placed_vm>& entries);

} // namespace chicory::online

#endif
