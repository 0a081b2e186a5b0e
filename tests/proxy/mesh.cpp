#include "proxy/mesh.hpp"

#include <array>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <kumquatdrift/telemetry/log.hpp>

namespace kumquatdrift {

raw_client::raw_client(std::uint16_t port) : socket{Poco::Net::SocketAddress{"127.0.0.1", port}}
{
    this->socket.setNoDelay(true);
    this->socket.setReceiveTimeout(Poco::Timespan{10, 0});
}

void raw_client::send(const std::string& bytes)
{
    this->socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
}

bool raw_client::receive_more()
{
    std::array<char, 16 * 1024> block{};
    try {
        const auto count = this->socket.receiveBytes(block.data(), static_cast<int>(block.size()));
        this->buffer.append(block.data(), static_cast<std::size_t>(std::max(count, 0)));
        return count > 0;
    }
    catch (const Poco::Exception&) {
        return false;
    }
}

client_response raw_client::receive(bool is_head)
{
    client_response response;
    std::size_t end{};
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!this->receive_more()) {
            return response;
        }
    }
    response.head = this->buffer.substr(0, end + 2);
    this->buffer.erase(0, end + 4);
    response.status = static_cast<unsigned>(std::stoul(response.head.substr(9, 3)));
    if (is_head || response.status < 200) {
        response.complete = true;
        return response;
    }
    if (response.field("transfer-encoding").empty()) {
        const auto length = std::stoul("0" + response.field("content-length"));
        while (this->buffer.size() < length && this->receive_more()) {}
        response.body = this->buffer.substr(0, length);
        response.complete = response.body.size() == length;
        this->buffer.erase(0, length);
        return response;
    }
    while (true) {
        const auto line_end = this->buffer.find("\r\n");
        if (line_end == std::string::npos) {
            if (!this->receive_more()) {
                return response;
            }
            continue;
        }
        const auto size = std::stoul(this->buffer.substr(0, line_end), nullptr, 16);
        while (this->buffer.size() < line_end + size + 4) {
            if (!this->receive_more()) {
                return response;
            }
        }
        response.body += this->buffer.substr(line_end + 2, size);
        this->buffer.erase(0, line_end + size + 4);
        if (size == 0) {
            response.complete = true;
            return response;
        }
    }
}

bool raw_client::is_closed_within(milliseconds time)
{
    const auto give_up = steady_now() + time;
    this->socket.setReceiveTimeout(Poco::Timespan{time.count() * 1'000});
    std::array<char, 16 * 1024> block{};
    try {
        while (this->socket.receiveBytes(block.data(), static_cast<int>(block.size())) > 0) {
            if (steady_now() > give_up) {
                return false;
            }
        }
        return true;
    }
    catch (const Poco::TimeoutException&) {
        return false;
    }
    catch (const Poco::Exception&) {
        return true;
    }
}

void raw_client::close()
{
    this->socket.close();
}

void raw_client::finish_sending()
{
    this->socket.shutdownSend();
}

claim_port fake_claims::port()
{
    claim_port made;
    made.claim = [this](const claim_request&) {
        const std::lock_guard lock{this->mutex};
        return this->next;
    };
    made.complete = [this](const claim_request& claimed, stored_response response) {
        const std::lock_guard lock{this->mutex};
        this->completed.push_back(claimed.key);
        this->stored = std::move(response);
    };
    made.release = [this](const claim_request& claimed) {
        const std::lock_guard lock{this->mutex};
        this->released.push_back(claimed.key);
    };
    return made;
}

void mesh_test::SetUp()
{
    set_up_log(log_level::error);
    this->entry.name = "entry";
    this->peer.name = "peer";
    this->route.name = "r";
    this->route.service = "s";
    this->route.deadline = milliseconds{1'000};
    this->service.name = "s";
}

void mesh_test::TearDown()
{
    // Requests that never get a response from the target would delay the end of the test.
    this->target.stop();
    for (auto* node : {&this->entry, &this->peer}) {
        if (node->proxy) {
            node->proxy->stop(milliseconds{0});
        }
    }
}

void mesh_test::start_node(mesh_node& node)
{
    proxy_dependencies dependencies;
    dependencies.snapshot = [&node] {
        const std::lock_guard lock{node.mutex};
        return node.snapshot;
    };
    dependencies.claims = node.claims.port();
    dependencies.metrics = &node.metrics;
    dependencies.tracer = node.tracer;
    dependencies.on_node_failed = [&node](const std::string& name) {
        const std::lock_guard lock{node.mutex};
        node.failed_nodes.push_back(name);
    };
    dependencies.on_advisory = [&node](const crash_advisory& advisory) {
        const std::lock_guard lock{node.mutex};
        node.advisories.push_back(advisory);
    };
    auto node_settings = this->settings;
    node_settings.node = node.name;
    auto made = proxy_service::create(node_settings, std::move(dependencies));
    ASSERT_TRUE(made) << made.last_reason();
    node.proxy = std::move(*made);
}

void mesh_test::start()
{
    this->start_node(this->entry);
    this->start_node(this->peer);
    this->publish();
}

void mesh_test::publish()
{
    member_view view;
    effective_config config;
    config.version = ++this->version;
    config.data_centre = "dc";
    config.services.emplace(this->service.name, this->service);
    config.routes.emplace(this->route.name, this->route);
    for (auto* node : {&this->entry, &this->peer}) {
        member_record record;
        record.node = node->name;
        record.data_centre = "dc";
        record.ip = "127.0.0.1";
        record.peer_port = node->proxy->ports().peer;
        record.state = member_state::alive;
        record.targets = node->targets;
        view.members.emplace(node->name, member_entry{record, member_status::alive});
    }
    view.generation = this->version;
    view.endpoint_generation = this->version;
    for (auto* node : {&this->entry, &this->peer}) {
        view.self = node->name;
        const auto made = build_snapshot(config, view);
        ASSERT_TRUE(made) << made.last_reason();
        {
            const std::lock_guard lock{node->mutex};
            node->snapshot = *made;
        }
        node->proxy->update_targets(node->targets);
    }
}

void mesh_test::add_target(mesh_node& node, const std::string& id, const std::string& address,
                           std::uint32_t slots)
{
    node.targets.push_back({id, "s", address, slots, target_state::ready});
}

std::string mesh_test::request(const std::string& id, const std::string& body, const std::string& fields,
                               const std::string& method)
{
    return method + " /p HTTP/1.1\r\nHost: h\r\nx-request-id: " + id + "\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

client_response mesh_test::call(const std::string& id, const std::string& body, const std::string& fields,
                                const std::string& method)
{
    raw_client client{this->entry.proxy->ports().caller};
    client.send(request(id, body, fields, method));
    return client.receive(method == "HEAD");
}

} // namespace kumquatdrift
