#include <gateway/tcp_listener.hpp>

#include <vector>

#include <sys/resource.h>
#include <unistd.h>

#include <gtest/gtest.h>

#include <support/gateway_world.hpp>

namespace kumquatdrift {
namespace {

TEST(listener_on_used_port, listen_fails_with_address_and_cause)
{
    gateway_world world{};
    tcp_listener first{world.loop, [](const socket_stream::pointer&) {}};
    tcp_listener second{world.loop, [](const socket_stream::pointer&) {}};
    const auto bound = first.listen({"127.0.0.1", 0});
    ASSERT_TRUE(bound);
    const auto rejected = second.listen(*bound);
    ASSERT_FALSE(rejected);
    EXPECT_NE(rejected.last_reason().find(std::to_string(bound->port)), std::string::npos);
}

TEST(listener_without_descriptors, accept_is_retried_after_a_delay)
{
    gateway_world world{};
    std::vector<socket_stream::pointer> streams{};
    std::size_t failures{};
    tcp_listener listener{world.loop,
                          [&](const socket_stream::pointer& connection) { streams.push_back(connection); }};
    listener.on_error([&](const std::string&) { ++failures; });
    const auto bound = listener.listen({"127.0.0.1", 0});
    ASSERT_TRUE(bound);
    boost::asio::ip::tcp::socket caller{world.loop.context()};
    caller.connect({boost::asio::ip::make_address_v4("127.0.0.1"), bound->port});

    rlimit original{};
    ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &original), 0);
    // A limit at the next free descriptor makes accept fail; descriptors that are open already stay usable.
    const auto next_descriptor = ::dup(0);
    ASSERT_GE(next_descriptor, 0);
    ::close(next_descriptor);
    const rlimit exhausted{static_cast<rlim_t>(next_descriptor), original.rlim_max};
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &exhausted), 0);
    world.run_for(milliseconds{350});
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &original), 0);
    EXPECT_TRUE(streams.empty());
    EXPECT_GE(failures, 1U);
    EXPECT_LE(failures, 4U);
    EXPECT_TRUE(world.run_until([&] { return streams.size() == 1; }));
}

} // namespace
} // namespace kumquatdrift
