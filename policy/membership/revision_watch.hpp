#ifndef CHICORY_POLICY_MEMBERSHIP_REVISION_WATCH_HPP
#define CHICORY_POLICY_MEMBERSHIP_REVISION_WATCH_HPP

#include <cstddef>
#include <cstdint>
#include <string>

namespace chicory::membership
{

/// Tracks the configuration revision in force on this node and the highest
/// revision that other cluster members reported.
class revision_watch
{
public:
    /// Sets the revision in force on this node, which is then transmitted
    /// `transmit_limit` times. Returns false if the revision is not newer.
    bool set_own(std::int64_t revision, std::size_t transmit_limit);

    /// Records the revision that a member reported to have in force.
    void on_member_revision(const std::string& sender, std::int64_t revision);

    std::int64_t highest() const;

    /// Returns the member that last reported the highest revision; empty if the
    /// revision is this node's own.
    const std::string& holder() const;

    /// Returns whether this node's revision still has to be transmitted.
    bool has_transmissions_left() const;
    void record_transmission();

private:
    std::int64_t own_revision = 0;
    std::int64_t highest_seen = 0;
    std::string highest_holder;
    std::size_t transmissions_left = 0;
};

} // namespace chicory::membership

#endif
