#include "policy/serving/serving.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <string>
#include <vector>

namespace chicory::serving
{

namespace
{

using namespace std::chrono_literals;

caller_key make_key(const std::string& text)
{
    return {
        !text.empty(), text.find(',') != std::string::npos, digest_key(text)};
}

serving_configuration make_configuration()
{
    organisation north;
    north.name = "north";
    north.priority = 0;
    north.keys = {*digest_key("k-north")};
    organisation south;
    south.name = "south";
    south.keys = {*digest_key("k-south")};
    serving_configuration configuration;
    configuration.organisations = organisation_directory({north, south});
    serving_route open;
    open.name = "open";
    open.kind = route_kind::batch;
    open.is_public = true;
    configuration.routes.push_back(open);
    return configuration;
}

access_outcome check(const std::string& key, bool keys_are_current = true)
{
    return check_access(
               make_configuration(), false, make_key(key), keys_are_current)
        .outcome;
}

job_record make_job(const std::string& organisation_name)
{
    job_record job;
    job.route = "open";
    job.organisation = organisation_name;
    return job;
}

boot_time_point at(duration since_start)
{
    return boot_time_point(since_start);
}

} // namespace

TEST(access, a_request_needs_one_known_key)
{
    EXPECT_EQ(check("k-north"), access_outcome::granted);
    EXPECT_EQ(check(""), access_outcome::missing_key);
    EXPECT_EQ(check("k-east"), access_outcome::unknown_key);
    EXPECT_EQ(check("k-north, k-south"), access_outcome::malformed_key);
    EXPECT_EQ(check(std::string(257, 'k')), access_outcome::malformed_key);
}

// A key may have been added or revoked since, so that neither 401 nor a run
// would be right; a request without a key is certainly not allowed.
TEST(access, old_information_decides_about_no_key)
{
    EXPECT_EQ(check("k-north", false), access_outcome::stale);
    EXPECT_EQ(check("k-east", false), access_outcome::stale);
    EXPECT_EQ(check("", false), access_outcome::missing_key);
}

TEST(access, a_public_route_needs_no_key_and_trusts_current_keys_only)
{
    const serving_configuration configuration = make_configuration();
    const auto find_name = [&](const std::string& key, bool keys_are_current)
    {
        const access_decision decision =
            check_access(configuration, true, make_key(key), keys_are_current);
        EXPECT_EQ(decision.outcome, access_outcome::granted);
        return decision.organisation;
    };
    EXPECT_EQ(find_name("k-north", true), "north");
    EXPECT_EQ(find_name("k-north", false), "");
    EXPECT_EQ(find_name("k-east", true), "");
    EXPECT_EQ(find_name("", true), "");
}

TEST(access, without_organisations_every_request_is_granted)
{
    EXPECT_EQ(
        check_access(serving_configuration(), false, make_key("any"), false),
        access_decision());
}

// Guards against jobs that are shown to another organisation, or to callers
// without a key.
TEST(access, a_job_is_shown_to_its_organisation_only)
{
    const serving_configuration configuration = make_configuration();
    const access_decision north = {access_outcome::granted, "north"};
    const access_decision south = {access_outcome::granted, "south"};
    const access_decision stale = {access_outcome::stale, "north"};
    const access_decision none = {access_outcome::missing_key, ""};
    EXPECT_TRUE(may_access_job(configuration, make_job("north"), north));
    for (const access_decision& other : {south, stale, none})
    {
        EXPECT_FALSE(may_access_job(configuration, make_job("north"), other));
    }
    EXPECT_TRUE(may_access_job(configuration, make_job(""), none));
    job_record old_job = make_job("");
    old_job.route = "removed";
    EXPECT_FALSE(may_access_job(configuration, old_job, north));
    EXPECT_TRUE(may_access_job(serving_configuration(), old_job, {}));
    EXPECT_FALSE(
        may_access_job(serving_configuration(), make_job("north"), {}));
}

TEST(access, the_rank_of_the_organisation_takes_precedence)
{
    const serving_configuration configuration = make_configuration();
    serving_route route;
    route.priority = 5;
    EXPECT_EQ(choose_priority(configuration, route, "north"), 0);
    EXPECT_EQ(choose_priority(configuration, route, "south"), 5);
    EXPECT_EQ(choose_priority(configuration, route, ""), 5);
}

// A record without an organisation must stay readable by earlier versions.
TEST(access, a_job_record_names_its_organisation_only_if_it_has_one)
{
    EXPECT_EQ(encode_job(make_job("")).find("organisation"), std::string::npos);
    const result<job_record> read =
        decode_job("j", encode_job(make_job("n")), 1);
    ASSERT_TRUE(read);
    EXPECT_EQ(read.value().organisation, "n");
}

TEST(key_freshness, a_node_that_never_reached_the_store_accepts_no_key)
{
    EXPECT_FALSE(key_freshness({true, 5s}).is_current(at(0s)));
    EXPECT_TRUE(key_freshness({false, 5s}).is_current(at(0s)));
}

// Requests must be served for 0.6 of the limit without contact, and must not
// run after the limit, with time left to reach the runner.
TEST(key_freshness, keys_are_accepted_between_both_bounds)
{
    for (const duration limit : std::vector<duration>{500ms, 1s, 5s, 60s})
    {
        key_freshness keys({true, limit});
        keys.on_confirmed(at(10s));
        EXPECT_TRUE(keys.is_current(at(10s) + limit * 6 / 10));
        EXPECT_FALSE(keys.is_current(at(10s) + limit * 9 / 10));
    }
}

// A response that was sent before a later one must not make the node older, and
// a response that arrives late must not make it younger.
TEST(key_freshness, the_latest_sending_counts)
{
    key_freshness keys({true, 5s});
    keys.on_confirmed(at(20s));
    keys.on_confirmed(at(18s));
    EXPECT_EQ(keys.age(at(21s)), duration(1s));
}

// Replays nodes that lose contact, get late responses and are suspended, while
// a key is removed at a random moment. A node that accepts the key must have
// sent a call before the removal, and no node may accept it after the limit.
TEST(key_freshness, no_node_accepts_a_key_after_the_limit)
{
    constexpr int seeds = 200;
    constexpr duration limit = 5s;
    int accepted = 0;
    for (int seed = 0; seed < seeds; ++seed)
    {
        std::mt19937_64 generator(static_cast<std::uint64_t>(seed));
        const auto draw_ms = [&](int most)
        {
            return duration(std::chrono::milliseconds(
                std::uniform_int_distribution<int>(0, most)(generator)));
        };
        const duration removal = 5s + draw_ms(20'000);
        key_freshness keys({true, limit});
        duration now = 0s;
        while (now < removal + 60s)
        {
            const duration sent = now;
            const bool is_lost = draw_ms(3) == duration::zero();
            const bool is_suspended = draw_ms(9) == duration::zero();
            now += 100ms + draw_ms(1500) + (is_suspended ? draw_ms(9000) : 0s);
            // The store forms its response at any time since the call. One that
            // shows the removal ends the use of the key.
            const duration formed =
                sent + draw_ms(static_cast<int>((now - sent).count() / 1000));
            if (!is_lost && formed >= removal)
            {
                break;
            }
            if (!is_lost)
            {
                keys.on_confirmed(at(sent));
            }
            const duration checked = now + draw_ms(6000);
            if (keys.is_current(at(checked)))
            {
                ++accepted;
                ASSERT_LT(checked, removal + limit) << "seed " << seed;
            }
        }
    }
    // The load must reach the case that the bound is about.
    EXPECT_GT(accepted, seeds);
}

} // namespace chicory::serving
