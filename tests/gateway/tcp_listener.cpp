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
    tcp_listener first{world.loop, [](const stream::pointer&) {}};
    tcp_listener second{world.loop, [](const stream::pointer&) {}};
    const auto bound = first.listen({"127.0.0.1", 0});
    ASSERT_TRUE(bound);
    const auto taken = second.listen(*bound);
    ASSERT_FALSE(taken);
    EXPECT_NE(taken.last_reason().find(std::to_string(bound->port)), std::string::npos);
}

TEST(listener_without_descriptors, accept_is_tried_again_after_a_pause)
{
    gateway_world world{};
    std::vector<stream::pointer> streams{};
    std::size_t failures{};
    tcp_listener listener{world.loop, [&](const stream::pointer& one) { streams.push_back(one); }};
    listener.on_error([&](const std::string&) { ++failures; });
    const auto bound = listener.listen({"127.0.0.1", 0});
    ASSERT_TRUE(bound);
    boost::asio::ip::tcp::socket caller{world.loop.context()};
    caller.connect({boost::asio::ip::make_address_v4("127.0.0.1"), bound->port});

    rlimit before{};
    ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
    const auto next = ::dup(0);
    ASSERT_GE(next, 0);
    ::close(next);
    const rlimit none{static_cast<rlim_t>(next), before.rlim_max};
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &none), 0);
    world.run_for(milliseconds{350});
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &before), 0);
    EXPECT_TRUE(streams.empty());
    EXPECT_GE(failures, 1U);
    EXPECT_LE(failures, 4U);
    EXPECT_TRUE(world.run_until([&] { return streams.size() == 1; }));
}

} // namespace
} // namespace kumquatdrift
