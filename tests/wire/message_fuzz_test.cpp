#include "tests/support/mutate.hpp"
#include "wire/memory_archive.hpp"
#include "wire/wire.hpp"

#include <gtest/gtest.h>

namespace chicory::wire
{

TEST(message_fuzz, damaged_messages_end_in_a_value_or_a_typed_error)
{
    dispatch request;
    request.request_id = "req-1";
    request.body = std::string(200, 'b');
    fleet_update fleet;
    fleet.view.vms.resize(3);
    configuration_update tables;
    tables.tables.routes["letters"].key_digests = {"a", "b"};
    configuration::pool& pool = tables.tables.pools["llm"];
    pool.wanted_models["model"] = 2;
    pool.wanted_versions["model"] = "v1";
    pool.wanted_adapters["model"] = {"adapter"};
    pool.wanted_roles[configuration::runner_role::prefill] = 1;
    probe_reply reply;
    reply.runners.resize(4);
    const std::vector<message> corpus = {
        request, fleet, tables, reply, response_frame{"req-1", 1, 7, "bytes"}};
    std::mt19937_64 generator(20261204);
    std::uint64_t rejected = 0;
    for (std::uint64_t round = 0; round < testing_support::fuzz_rounds();
         ++round)
    {
        const std::string encoded = encode(corpus[round % corpus.size()]);
        const result<message> read =
            decode(testing_support::mutate(encoded, generator));
        if (!read)
        {
            ASSERT_EQ(read.error().kind, error_kind::invalid_input);
            ++rejected;
        }
        else
        {
            // A decoded message can be encoded and decoded again.
            ASSERT_TRUE(decode(encode(read.value())).has_value());
        }
    }
    EXPECT_GT(rejected, 0U);
}

TEST(message_fuzz, a_bool_other_than_zero_and_one_is_rejected)
{
    const std::string bytes(1, '\x4A');
    memory_reader archive(bytes);
    bool value = false;
    EXPECT_THROW(archive(value), cereal::Exception);
}

} // namespace chicory::wire
