#include "policy/serving/serving.hpp"

#include <gtest/gtest.h>

#include <chrono>

namespace chicory::serving
{

namespace
{

using namespace std::chrono_literals;

constexpr time_point start(1h);
constexpr boot_time_point boot_start(2h);

// Guards against a coordinator that was suspended for seconds, in which its
// successor granted the quotas, and that grants them again on its return
// because its own clock shows no time since the last statuses.
TEST(quota_contacts, a_suspension_ends_the_contact_that_was_proved_before)
{
    quota_contacts contacts("a");
    contacts.set_nodes(start, {"a", "b", "c"}, {});
    contacts.set_participants({"a", "b", "c"}, 1);
    contacts.on_heard(start, "b");
    contacts.on_heard(start, "c");
    EXPECT_FALSE(contacts.on_clocks(start, boot_start));
    // Contact that was proved long after the start, and no takeover lately.
    const time_point later = start + 10s;
    contacts.set_nodes(later, {"a", "b", "c"}, {});
    contacts.on_heard(later, "b");
    contacts.on_heard(later, "c");
    EXPECT_FALSE(contacts.on_clocks(later, boot_start + 10s));
    EXPECT_TRUE(contacts.find_contact(later).in_majority);

    EXPECT_TRUE(contacts.on_clocks(later + 1ms, boot_start + 14s));
    const quota_contact contact = contacts.find_contact(later + 1ms);
    EXPECT_TRUE(contact.undecided || !contact.in_majority);
    EXPECT_FALSE(contacts.on_clocks(later + 2ms, boot_start + 14s + 1ms));
    contacts.on_heard(later + 2ms, "b");
    contacts.on_heard(later + 2ms, "c");
    EXPECT_TRUE(contacts.find_contact(later + 2ms).in_majority);
}

} // namespace

} // namespace chicory::serving
