#ifndef KUMQUATDRIFT_TESTS_PROXY_MESH_HPP
#define KUMQUATDRIFT_TESTS_PROXY_MESH_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include <Poco/Net/StreamSocket.h>

#include <kumquatdrift/proxy/service.hpp>

#include "proxy/fake_target.hpp"

namespace kumquatdrift {

/*! @brief Answer as a client sees it. */
struct client_answer {
    /*! @brief Status code; 0 if the connection ended before a head. */
    unsigned status{};
    /*! @brief Head with the status line. */
    std::string head{};
    /*! @brief Decoded body. */
    std::string body{};
    /*! @brief True if the framing says that the body is complete. */
    bool complete{};

    [[nodiscard]] std::string field(const std::string& name) const
    {
        return field_in(this->head, name);
    }
    [[nodiscard]] std::string verdict() const
    {
        return this->field("x-kumquatdrift-verdict");
    }
};

/*! @brief Client on a raw socket. */
class raw_client {
public:
    explicit raw_client(std::uint16_t port);
    void send(const std::string& bytes);
    [[nodiscard]] client_answer receive(bool is_head = false);
    // True if the other side closes within the time.
    [[nodiscard]] bool is_closed_within(milliseconds time);
    void close();
    // Ends the sending direction only.
    void finish_sending();

private:
    bool receive_more();

    Poco::Net::StreamSocket socket;
    std::string buffer{};
};

/*! @brief Claims in memory that record what was done with them. */
struct fake_claims {
    std::mutex mutex{};
    claim_answer next{claim_outcome::granted, {}, milliseconds{1'000}, {}};
    std::vector<std::string> completed{};
    std::vector<std::string> released{};
    std::optional<stored_answer> stored{};

    [[nodiscard]] claim_port port();
};

/*! @brief A node with its proxy. */
struct mesh_node {
    std::string name{};
    metrics_registry metrics{};
    std::shared_ptr<ring_tracer> tracer = ring_tracer::create(100, false);
    fake_claims claims{};
    std::mutex mutex{};
    routing_snapshot_ptr snapshot{};
    std::vector<std::string> failed_nodes{};
    std::vector<crash_advisory> crashes{};
    std::vector<target_record> targets{};
    std::unique_ptr<proxy_service> proxy{};
};

/*! @brief Entry node `entry` and target node `peer` with one service `s`. */
class mesh_test : public testing::Test {
protected:
    void SetUp() override;
    void TearDown() override;

    // Starts both nodes with the settings and the route as they are now.
    void start();
    // Publishes snapshots after a change of targets or route.
    void publish();
    void add_target(mesh_node& node, const std::string& id, const std::string& address,
                    std::uint32_t slots = 10);

    [[nodiscard]] static std::string request(const std::string& id, const std::string& body = {},
                                             const std::string& fields = {},
                                             const std::string& method = "POST");
    // Sends a request over a new connection to the entry node.
    [[nodiscard]] client_answer call(const std::string& id, const std::string& body = {},
                                     const std::string& fields = {}, const std::string& method = "POST");

    proxy_settings settings{};
    route_config route{};
    service_config service{};
    mesh_node entry{};
    mesh_node peer{};
    fake_target target{};

private:
    void start_node(mesh_node& node);
    std::uint64_t version{};
};

} // namespace kumquatdrift

#endif
