#include "wire/wire.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <gtest/gtest.h>

namespace chicory::wire
{

TEST(message, every_field_survives_encoding)
{
    dispatch sent;
    sent.request_id = "req-1";
    sent.attempt = 3;
    sent.kind = work_class::batch;
    sent.body = std::string("\0binary", 7);
    sent.not_repeatable = true;
    sent.fingerprint = 0xFFFFFFFFFFFFFFFF;
    const result<message> received = decode(encode(sent));
    ASSERT_TRUE(received.has_value());
    const dispatch& found = std::get<dispatch>(received.value());
    EXPECT_EQ(found.request_id, sent.request_id);
    EXPECT_EQ(found.attempt, sent.attempt);
    EXPECT_EQ(found.kind, sent.kind);
    EXPECT_EQ(found.body, sent.body);
    EXPECT_EQ(found.not_repeatable, sent.not_repeatable);
    EXPECT_EQ(found.fingerprint, sent.fingerprint);
}

TEST(message, truncated_messages_give_a_typed_error)
{
    const std::string whole = encode(response_frame{"req-1", 1, 7, "bytes"});
    for (std::size_t length = 0; length < whole.size(); ++length)
    {
        const result<message> received = decode(whole.substr(0, length));
        ASSERT_FALSE(received.has_value()) << length;
        EXPECT_EQ(received.error().kind, error_kind::invalid_input);
    }
}

TEST(message, a_length_beyond_the_bytes_is_rejected_before_allocation)
{
    std::string bytes = encode(response_frame{"req-1", 1, 7, "bytes"});
    // The length of the payload is in the four bytes before it.
    const std::size_t length_offset = bytes.size() - 5 - 4;
    bytes.replace(length_offset, 4, "\xFF\xFF\xFF\x7F");
    const result<message> received = decode(bytes);
    ASSERT_FALSE(received.has_value());
    EXPECT_EQ(received.error().kind, error_kind::invalid_input);
}

TEST(message, trailing_bytes_are_rejected)
{
    const result<message> received =
        decode(encode(heartbeat{1}) + std::string(1, 'x'));
    ASSERT_FALSE(received.has_value());
}

TEST(link, messages_arrive_in_order_in_both_directions)
{
    boost::asio::io_context context;
    link_server server(
        context.get_executor(),
        [](const std::shared_ptr<link>& accepted)
        {
            accepted->set_message_hook(
                [](const std::shared_ptr<link>& self, message value)
                {
                    self->send(value);
                });
        });
    ASSERT_TRUE(server.listen({"127.0.0.1", 0}));
    std::vector<std::uint64_t> offsets;
    const std::shared_ptr<link> client = open_link(
        context.get_executor(),
        {"127.0.0.1", server.port()},
        [&](const std::shared_ptr<link>&, message value)
        {
            offsets.push_back(std::get<response_frame>(value).offset);
            if (offsets.size() == 100)
            {
                context.stop();
            }
        },
        nullptr);
    for (std::uint64_t offset = 0; offset < 100; ++offset)
    {
        client->send(response_frame{"req-1", 1, offset, "x"});
    }
    context.run();
    ASSERT_EQ(offsets.size(), 100U);
    EXPECT_TRUE(std::is_sorted(offsets.begin(), offsets.end()));
}

TEST(link, a_refused_connection_calls_the_closed_hook_once)
{
    boost::asio::io_context context;
    std::uint16_t free_port = 0;
    {
        link_server server(
            context.get_executor(), [](const std::shared_ptr<link>&) {});
        ASSERT_TRUE(server.listen({"127.0.0.1", 0}));
        free_port = server.port();
    }
    int closed = 0;
    const std::shared_ptr<link> client = open_link(
        context.get_executor(),
        {"127.0.0.1", free_port},
        nullptr,
        [&](const std::shared_ptr<link>&)
        {
            ++closed;
        });
    context.run();
    EXPECT_EQ(closed, 1);
    EXPECT_FALSE(client->is_open());
}

} // namespace chicory::wire
