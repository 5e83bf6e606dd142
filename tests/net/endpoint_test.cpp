#include "net/net.hpp"

#include <gtest/gtest.h>

namespace chicory::net
{

TEST(endpoint, splits_an_address_and_a_port)
{
    EXPECT_EQ(split_endpoint("10.0.0.1:80"), (endpoint{"10.0.0.1", 80}));
    EXPECT_EQ(split_endpoint("[::1]:65535"), (endpoint{"[::1]", 65535}));
}

TEST(endpoint, rejects_invalid_text)
{
    for (const char* text :
         {"",
          ":",
          ":80",
          "10.0.0.1",
          "10.0.0.1:",
          "10.0.0.1:0",
          "10.0.0.1:x",
          "10.0.0.1:80x",
          "10.0.0.1:65536",
          "10.0.0.1:-1"})
    {
        EXPECT_EQ(split_endpoint(text), std::nullopt) << text;
    }
}

} // namespace chicory::net
