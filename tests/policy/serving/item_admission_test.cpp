#include "policy/serving/serving.hpp"

#include <gtest/gtest.h>

namespace chicory::serving
{

namespace
{

std::size_t fill(item_admission& admission, const std::string& service)
{
    std::size_t added = 0;
    while (admission.may_start(service))
    {
        admission.add(service);
        ++added;
    }
    return added;
}

} // namespace

// Guards against a lost service that stops the batch work of all others: its
// items wait without end and use up the places of the whole node.
TEST(item_admission_test, a_lost_service_leaves_the_places_of_others)
{
    item_admission admission;
    EXPECT_EQ(fill(admission, "lost"), 12U);
    EXPECT_FALSE(admission.may_start("lost"));
    EXPECT_EQ(fill(admission, "sound"), 12U);
}

// Guards against memory that grows with the number of lost services, and
// against a sound service that finds no place left behind thousands of them.
TEST(item_admission_test, thousands_of_lost_services_stay_bounded)
{
    constexpr std::size_t services = 5000;
    const item_admission_settings settings;
    item_admission admission;
    std::size_t added = 0;
    for (std::size_t number = 0; number < services; ++number)
    {
        added += fill(admission, "lost-" + std::to_string(number));
    }
    EXPECT_LE(added, settings.total + services);
    EXPECT_TRUE(admission.may_start("sound"));
}

// Guards against items that runners refuse again and again and that use up the
// places of the sound items of their service.
TEST(item_admission_test, uncertain_items_leave_the_places_of_others)
{
    item_admission admission;
    for (int number = 0; number < 20; ++number)
    {
        // Runners have refused them while they waited in regular places.
        admission.add("chat", true);
    }
    EXPECT_FALSE(admission.may_start("chat", true));
    EXPECT_TRUE(admission.has_too_many_uncertain("chat"));
    EXPECT_EQ(fill(admission, "chat"), 12U);
}

} // namespace chicory::serving
