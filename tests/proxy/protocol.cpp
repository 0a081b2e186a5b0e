#include <gtest/gtest.h>

#include <thread>

#include "proxy/mesh.hpp"

namespace kumquatdrift {
namespace {

class proxy_protocol : public mesh_test {
protected:
    void start_with_target()
    {
        this->start();
        this->add_target(this->peer, "t", this->target.address());
        this->publish();
    }

    [[nodiscard]] client_response send_raw(const std::string& bytes, std::uint16_t port = 0)
    {
        raw_client client{port == 0 ? this->entry.proxy->ports().caller : port};
        client.send(bytes);
        return client.receive();
    }
};

// Guards against request smuggling and other input that two parsers may read differently.
TEST_F(proxy_protocol, malformed_requests_get_400_and_never_reach_the_target)
{
    this->start_with_target();
    const std::string head{"POST /p HTTP/1.1\r\nHost: h\r\n"};
    const std::vector<std::string> malformed{
        head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
        head + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody!",
        head + "Content-Length: 4, 5\r\n\r\nbody!",
        head + "Content-Length: -4\r\n\r\nbody",
        head + "Content-Length: 4x\r\n\r\nbody",
        head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        head + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        head + "Transfer-Encoding: identity\r\n\r\n",
        head + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\nzz\r\nbody\r\n0\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbodyXX0\r\n\r\n",
        head + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\nbody\r\n0\r\n\r\n",
        head + "no colon\r\n\r\n",
        head + "Name\n: x\r\n\r\n",
        "POST /p HTTP/1.1\r\n\r\n",
        head + "Host: other\r\nContent-Length: 0\r\n\r\n",
        "POST /p HTTP/2.0\r\nHost: h\r\n\r\n",
        "POST /a/../p HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
        "POST http://h/p HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n",
        std::string{"POST /p HTTP/1.1\r\nHost: h\r\nx: a\0b\r\n\r\n", 41},
        "\x16\x03\x01\x02\r\n\r\n",
    };
    for (const auto& text : malformed) {
        const auto response = this->send_raw(text);
        EXPECT_EQ(response.status, 400U) << text;
        EXPECT_EQ(response.verdict(), "not_run") << text;
    }
    EXPECT_TRUE(this->target.heads().empty());
}

// Guards against a head beyond the limit, in one large field or in many small ones.
TEST_F(proxy_protocol, oversized_heads_get_431)
{
    this->start_with_target();
    std::string many{"GET /p HTTP/1.1\r\nHost: h\r\n"};
    for (int index = 0; index < 400; ++index) {
        many += "x-field-" + std::to_string(index) + ": " + std::string(40, 'v') + "\r\n";
    }
    const auto one = "GET /p HTTP/1.1\r\nHost: h\r\nx: " + std::string(17'000, 'v') + "\r\n\r\n";
    EXPECT_EQ(this->send_raw(many + "\r\n").status, 431U);
    EXPECT_EQ(this->send_raw(one).status, 431U);
    EXPECT_TRUE(this->target.heads().empty());
}

// Guards against bodies beyond the limit of the route, whether announced by Content-Length or found while
// reading.
TEST_F(proxy_protocol, oversized_bodies_get_413)
{
    this->route.limits.max_body_bytes = 1'000;
    this->start_with_target();
    const auto announced = this->call("a", std::string(1'001, 'b'));
    EXPECT_EQ(announced.status, 413U);
    EXPECT_EQ(announced.verdict(), "not_run");
    const auto chunked =
        this->send_raw("POST /p HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" +
                       std::string(1'001, 'b') + "\r\n0\r\n\r\n");
    EXPECT_EQ(chunked.status, 413U);
    EXPECT_TRUE(this->target.heads().empty());
    EXPECT_EQ(this->call("c", std::string(1'000, 'b')).status, 200U);
}

// Guards against clients that occupy connections by sending a head or body very slowly or not to its end.
TEST_F(proxy_protocol, slow_head_and_slow_body_get_408)
{
    this->settings.caller.header_timeout = milliseconds{200};
    this->settings.caller.body_stall_timeout = milliseconds{100};
    this->start_with_target();
    raw_client slow{this->entry.proxy->ports().caller};
    slow.send("POST /p HT");
    std::thread trickle{[&slow] {
        for (int index = 0; index < 8; ++index) {
            std::this_thread::sleep_for(milliseconds{50});
            try {
                slow.send("T");
            }
            catch (const std::exception&) {
                return;
            }
        }
    }};
    EXPECT_EQ(slow.receive().status, 408U);
    trickle.join();
    raw_client stalled{this->entry.proxy->ports().caller};
    const auto started = steady_now();
    stalled.send("POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc");
    const auto response = stalled.receive();
    EXPECT_LT(steady_now() - started, milliseconds{500}) << "the deadline of the call is 1 s";
    EXPECT_EQ(response.status, 408U);
    EXPECT_EQ(response.verdict(), "not_run");
    EXPECT_TRUE(this->target.heads().empty());
}

// Guards against a truncated upload that the target receives as complete.
TEST_F(proxy_protocol, truncated_body_is_not_forwarded_as_complete)
{
    this->start_with_target();
    const std::string part(200'000, 'b');
    for (const auto& framing : {std::string{"Content-Length: 300000\r\n\r\n"},
                                std::string{"Transfer-Encoding: chunked\r\n\r\n493e0\r\n"}}) {
        raw_client client{this->entry.proxy->ports().caller};
        client.send("POST /p HTTP/1.1\r\nHost: h\r\nx-request-id: cut\r\n" + framing + part);
        client.finish_sending();
        const auto response = client.receive();
        EXPECT_EQ(response.status, 400U) << response.head;
        EXPECT_EQ(response.verdict(), "may_have_run");
    }
    raw_client small{this->entry.proxy->ports().caller};
    small.send("POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 300\r\n\r\nbody");
    small.finish_sending();
    const auto response = small.receive();
    EXPECT_EQ(response.status, 400U);
    EXPECT_EQ(response.verdict(), "not_run");
    std::this_thread::sleep_for(milliseconds{50});
    EXPECT_EQ(this->target.runs("cut"), 0U);
    EXPECT_EQ(this->target.truncated_request_count(), 0U)
        << "a partial body must not be followed by an end of stream";
}

// Guards against connection-specific or internal fields that are forwarded to the target or the caller.
TEST_F(proxy_protocol, fields_are_filtered)
{
    this->start_with_target();
    const auto response =
        this->call("x", "body",
                   "Connection: keep-alive, x-hop\r\nx-hop: 1\r\nKeep-Alive: 5\r\nTE: trailers\r\n"
                   "x-kumquatdrift-target: other\r\nX-Kumquatdrift-Deadline-Ms: 999999\r\n"
                   "x-kept: yes\r\ntraceparent: 00-0af7651916cd43dd8448eb211c80319c-"
                   "b7ad6b7169203331-01\r\n");
    EXPECT_EQ(response.status, 200U);
    EXPECT_TRUE(response.field("x-kumquatdrift-load").empty());
    const auto head = this->target.heads().at(0);
    for (const auto* removed :
         {"connection", "x-hop", "keep-alive", "te", "x-kumquatdrift-target", "x-kumquatdrift-fingerprint"}) {
        EXPECT_TRUE(field_in(head, removed).empty()) << head;
    }
    EXPECT_EQ(field_in(head, "x-kept"), "yes");
    EXPECT_EQ(field_in(head, "host"), "h");
    EXPECT_LE(std::stoi(field_in(head, "x-kumquatdrift-deadline-ms")), 1'000);
    const auto trace = field_in(head, "traceparent");
    EXPECT_EQ(trace.substr(0, 36), "00-0af7651916cd43dd8448eb211c80319c-") << trace;
    EXPECT_NE(trace.substr(36, 16), "b7ad6b7169203331") << trace;
    // A span ends only after the response was sent.
    std::size_t spans{};
    for (int round = 0; round < 100 && spans < 3; ++round) {
        for (auto* node : {&this->entry, &this->peer}) {
            spans += node->tracer->write_spans([](std::string_view) {});
        }
        std::this_thread::sleep_for(milliseconds{5});
    }
    EXPECT_EQ(spans, 3U) << "one span each for the caller, the attempt and the peer";
}

// Guards against requests at the peer listener that lack the internal fields set by an entry node.
TEST_F(proxy_protocol, peer_request_without_fields_of_an_entry_node_gets_400)
{
    this->start_with_target();
    const auto response = this->send_raw(request("x"), this->peer.proxy->ports().peer);
    EXPECT_EQ(response.status, 400U);
    EXPECT_TRUE(this->target.heads().empty());
}

// Guards against a wrong status for requests that match no route.
TEST_F(proxy_protocol, unmatched_requests_get_404_and_405)
{
    this->route.path_prefix = "/p";
    this->route.methods = {"GET", "POST"};
    this->start_with_target();
    EXPECT_EQ(this->send_raw("GET /q HTTP/1.1\r\nHost: h\r\n\r\n").status, 404U);
    const auto response = this->call("x", "", "", "DELETE");
    EXPECT_EQ(response.status, 405U);
    EXPECT_EQ(response.field("allow"), "GET, POST");
}

// Guards against a connection that waits for the body of a response to HEAD.
TEST_F(proxy_protocol, connection_is_kept_open_after_head_and_chunked_responses)
{
    this->start_with_target();
    raw_client client{this->entry.proxy->ports().caller};
    this->target.behave(behaviour::respond_chunked);
    client.send(request("a", "body"));
    EXPECT_TRUE(client.receive().complete);
    client.send(request("b", "body"));
    const auto response = client.receive();
    EXPECT_EQ(response.body.rfind("id=b ", 0), 0U) << response.body;
    this->target.behave(behaviour::respond_head);
    client.send(request("h", "", "", "HEAD"));
    const auto head = client.receive(true);
    EXPECT_EQ(head.status, 200U);
    EXPECT_EQ(head.field("content-length"), "1000");
    this->target.behave(behaviour::respond);
    // Pipelined requests get their responses in order.
    client.send(request("c", "body") + request("d", "body"));
    EXPECT_EQ(client.receive().body.rfind("id=c ", 0), 0U);
    EXPECT_EQ(client.receive().body.rfind("id=d ", 0), 0U);
    EXPECT_EQ(this->target.connections(), 1U) << "connections to the target are pooled";
}

// Guards against a client that waits for 100 Continue forever, and against asking for a body that is
// rejected.
TEST_F(proxy_protocol, expect_continue_gets_100_continue)
{
    this->route.limits.max_body_bytes = 100'000;
    this->start_with_target();
    const std::string head{"POST /p HTTP/1.1\r\nHost: h\r\nx-request-id: e\r\nExpect: 100-continue\r\n"};
    raw_client client{this->entry.proxy->ports().caller};
    client.send(head + "Content-Length: 4\r\n\r\n");
    EXPECT_EQ(client.receive().status, 100U);
    client.send("body");
    EXPECT_EQ(client.receive().status, 200U);
    raw_client rejected{this->entry.proxy->ports().caller};
    rejected.send(head + "Content-Length: 100001\r\n\r\n");
    EXPECT_EQ(rejected.receive().status, 413U);
    EXPECT_TRUE(rejected.is_closed_within(milliseconds{2'000}));
}

// Guards against an unlimited number of connections, and against excess ones that get no response.
TEST_F(proxy_protocol, connections_beyond_the_limit_get_503)
{
    this->settings.caller.max_connections = 2;
    this->start_with_target();
    raw_client first{this->entry.proxy->ports().caller};
    raw_client second{this->entry.proxy->ports().caller};
    first.send(request("1"));
    EXPECT_EQ(first.receive().status, 200U);
    second.send(request("2"));
    EXPECT_EQ(second.receive().status, 200U);
    const auto response = this->call("3");
    EXPECT_EQ(response.status, 503U);
    EXPECT_EQ(response.verdict(), "not_run");
    EXPECT_EQ(this->target.runs("3"), 0U);
}

// Guards against idle connections that occupy all threads, and against input that is lost while a connection
// is polled.
TEST_F(proxy_protocol, idle_connections_occupy_no_threads)
{
    this->settings.caller.max_threads = 2;
    this->settings.peer.max_threads = 4;
    this->start_with_target();
    std::vector<std::unique_ptr<raw_client>> clients(8);
    for (auto& client : clients) {
        client = std::make_unique<raw_client>(this->entry.proxy->ports().caller);
    }
    for (int round = 0; round < 3; ++round) {
        for (auto& client : clients) {
            const auto started = steady_now();
            client->send(request("x"));
            EXPECT_EQ(client->receive().status, 200U);
            EXPECT_LT(steady_now() - started, milliseconds{500});
        }
        std::this_thread::sleep_for(milliseconds{50});
    }
}

// Guards against idle connections that are never closed, with and without a first request.
TEST_F(proxy_protocol, idle_and_silent_connections_are_closed)
{
    this->settings.caller.idle_timeout = milliseconds{100};
    this->settings.caller.header_timeout = milliseconds{200};
    this->start_with_target();
    raw_client idle{this->entry.proxy->ports().caller};
    raw_client silent{this->entry.proxy->ports().caller};
    idle.send(request("x"));
    EXPECT_EQ(idle.receive().status, 200U);
    EXPECT_TRUE(idle.is_closed_within(milliseconds{1'000}));
    EXPECT_TRUE(silent.is_closed_within(milliseconds{1'000}));
}

// Guards against a route whose requests occupy all threads.
TEST_F(proxy_protocol, requests_beyond_max_in_flight_get_503)
{
    this->route.limits.max_in_flight = 1;
    this->start_with_target();
    this->target.behave(behaviour::respond_slowly, milliseconds{200});
    std::thread first{[this] { EXPECT_EQ(this->call("1").status, 200U); }};
    std::this_thread::sleep_for(milliseconds{60});
    const auto response = this->call("2");
    EXPECT_EQ(response.status, 503U);
    EXPECT_EQ(response.verdict(), "not_run");
    EXPECT_FALSE(response.field("retry-after").empty());
    first.join();
    EXPECT_EQ(this->target.runs("2"), 0U);
}

} // namespace
} // namespace kumquatdrift
