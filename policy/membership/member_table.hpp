#ifndef CHICORY_POLICY_MEMBERSHIP_MEMBER_TABLE_HPP
#define CHICORY_POLICY_MEMBERSHIP_MEMBER_TABLE_HPP

#include "policy/membership/gossip_message.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace chicory::membership
{

/// Where a member_update comes from.
enum class update_source
{
    member,
    /// A list that all members read.
    list,
};

/// What a node believes of one VM.
struct member_record
{
    vm details;
    member_status status;
    /// When the current word was heard.
    time_point since;
};

/// All VMs that a node has heard of, and the words that it still passes on.
/// The dead are kept for a time, so that a late member_update does not revive
/// them.
class member_table
{
public:
    /// The salt sets the order in which this node tells its news, so that
    /// nodes with the same news do not all tell the same part of it.
    explicit member_table(std::uint64_t order_salt);

    /// Takes a member_update. Returns true when it changed the table. A
    /// member_update on an unknown VM without details is not taken. What
    /// changed is news to pass on, unless it came from a list that all others
    /// read too.
    bool apply(
        const member_update& heard,
        time_point now,
        update_source source = update_source::member);

    const std::map<std::string, member_record>& records() const;

    /// Returns the record of a VM, or null.
    const member_record* find(const std::string& id) const;

    /// Grows with each change.
    std::uint64_t version() const;

    /// Number of entry VMs that are not dead.
    std::size_t live_entries() const;

    /// Number of entry VMs, the dead that are still kept included.
    std::size_t known_entries() const;

    /// Returns the member_update on a VM as it would be told now.
    member_update make_update(const std::string& id, bool with_details) const;

    /// Adds news to a list up to `room` bytes and counts them as told: what is
    /// not alive before what is, then the least told first. A member_update
    /// told `limit` times is no news any more. Answers the load pattern of a
    /// fleet that starts at once: a death must not wait behind all who are
    /// there.
    void take_news(
        std::vector<member_update>& list, std::size_t& room, std::size_t limit);

    /// Returns whether some news was told less than `times`.
    bool has_news(std::size_t times) const;

    /// Adds up to `count` VMs in turn, whether news or not, up to `room`
    /// bytes. This brings views together that news alone left apart.
    void take_turn(
        std::vector<member_update>& list, std::size_t& room, std::size_t count);

    /// While quiet, tells nobody that an entry VM is suspect or dead.
    void set_quiet(bool wanted);

    bool is_quiet() const;

    /// Takes back the doubt about one entry VM, or all doubt since a time.
    /// Only right for words that were not told to others.
    void revive(const std::string& id, time_point now);
    void revive_since(time_point since, time_point now);

    /// Forgets the dead that were heard of before a time.
    void forget_dead(time_point before);

private:
    struct news_item
    {
        std::size_t told = 0;
        bool with_details = false;
        bool is_alive = false;
    };

    /// Whether the VM is alive, times told, a number that mixes news told
    /// equally often, and the VM.
    using news_key = std::tuple<bool, std::size_t, std::uint64_t, std::string>;

    news_key make_key(const news_item& item, const std::string& id) const;
    bool is_told(const member_record& record) const;
    void drop_news(const std::string& id);
    void add_news(const std::string& id, bool with_details);
    void count(const vm& details, vm_state state, int change);

    std::uint64_t salt;
    std::map<std::string, member_record> members;
    std::map<std::string, news_item> news;
    /// News in the order in which they are told.
    std::set<news_key> order;
    std::string turn;
    bool quiet = false;
    std::uint64_t changes = 0;
    std::size_t live = 0;
    std::size_t known = 0;
};

} // namespace chicory::membership

#endif
