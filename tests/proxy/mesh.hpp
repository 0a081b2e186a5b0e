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

/*! @brief Response as received by a client. */
struct client_response {
    /*! @brief Status code; 0 if the connection was closed before a complete head. */
    unsigned status{};
    /*! @brief Head including the status line. */
    std::string head{};
    /*! @brief Decoded body. */
    std::string body{};
    /*! @brief True if the body was received to the end that its framing defines. */
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

/*! @brief HTTP client on a plain socket that sends arbitrary bytes. */
class raw_client {
public:
    explicit raw_client(std::uint16_t port);
    void send(const std::string& bytes);
    [[nodiscard]] client_response receive(bool is_head = false);
    // Returns true if the peer closes within the time.
    [[nodiscard]] bool is_closed_within(milliseconds time);
    void close();
    // Shuts down the sending direction only.
    void finish_sending();

private:
    bool receive_more();

    Poco::Net::StreamSocket socket;
    std::string buffer{};
};

/*! @brief Claims in memory that record the keys completed and released. */
struct fake_claims {
    std::mutex mutex{};
    claim_result next{claim_outcome::granted, {}, milliseconds{1'000}, {}};
    std::vector<std::string> completed{};
    std::vector<std::string> released{};
    std::optional<stored_response> stored{};

    [[nodiscard]] claim_port port();
};

/*! @brief Proxy of one node, with its dependencies and the events that it reported to them. */
struct mesh_node {
    std::string name{};
    metrics_registry metrics{};
    std::shared_ptr<ring_tracer> tracer = ring_tracer::create(100, false);
    fake_claims claims{};
    std::mutex mutex{};
    routing_snapshot_ptr snapshot{};
    std::vector<std::string> failed_nodes{};
    std::vector<crash_advisory> advisories{};
    std::vector<target_record> targets{};
    std::unique_ptr<proxy_service> proxy{};
};

/*! @brief Fixture with an entry node, a peer node for targets, and one service `s`. */
class mesh_test : public testing::Test {
protected:
    void SetUp() override;
    void TearDown() override;

    // Starts both nodes with the current settings and route.
    void start();
    // Builds and publishes snapshots with the current targets and route.
    void publish();
    void add_target(mesh_node& node, const std::string& id, const std::string& address,
                    std::uint32_t slots = 10);

    [[nodiscard]] static std::string request(const std::string& id, const std::string& body = {},
                                             const std::string& fields = {},
                                             const std::string& method = "POST");
    // Sends a request to the entry node over a new connection and returns the response.
    [[nodiscard]] client_response call(const std::string& id, const std::string& body = {},
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
