#include <gtest/gtest.h>

#include <csignal>
#include <sstream>
#include <thread>

#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Pipe.h>
#include <Poco/PipeStream.h>
#include <Poco/Process.h>

#include "proxy/mesh.hpp"
#include "proxy/raw_target.hpp"

namespace kumquatdrift {
namespace {

/*! @brief A test program that runs as a child process, with a pipe from its standard output. */
class child_process {
public:
    child_process(const std::string& name, const Poco::Process::Args& arguments)
        : handle{Poco::Process::launch(std::string{KUMQUATDRIFT_BIN_DIR "/"} + name, arguments, nullptr,
                                       &pipe, nullptr)},
          output{pipe}
    {
    }
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    ~child_process()
    {
        if (!this->is_reaped) {
            Poco::Process::kill(this->handle);
            this->wait();
        }
    }

    [[nodiscard]] std::string read_line()
    {
        std::string text;
        std::getline(this->output, text);
        return text;
    }
    void terminate() const
    {
        Poco::Process::requestTermination(this->handle.id());
    }
    int wait()
    {
        this->is_reaped = true;
        return this->handle.wait();
    }

private:
    Poco::Pipe pipe{};
    Poco::ProcessHandle handle;
    Poco::PipeInputStream output;
    bool is_reaped{};
};

class test_programs : public mesh_test {
protected:
    [[nodiscard]] static std::string listening_address(child_process& server)
    {
        const auto text = server.read_line();
        return text.substr(text.rfind(' ') + 1);
    }

    [[nodiscard]] static std::uint16_t port_of(const std::string& address)
    {
        return static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)));
    }

    [[nodiscard]] static Poco::JSON::Object::Ptr parse(const std::string& text)
    {
        return Poco::JSON::Parser{}.parse(text).extract<Poco::JSON::Object::Ptr>();
    }
};

// Guards against requests that run twice or not at all, and against a load generator whose results
// differ from the run counts of the target server.
TEST_F(test_programs, load_through_both_nodes_runs_each_request_once)
{
    child_process server{"target_server", {"--slots", "10"}};
    const auto address = listening_address(server);
    this->start();
    this->add_target(this->peer, "t", address);
    this->publish();
    const auto caller = "127.0.0.1:" + std::to_string(this->entry.proxy->ports().caller);
    child_process generator{"load_generator",
                            {caller, "--rate", "200", "--duration-ms", "1000", "--connections", "4",
                             "--method", "POST", "--body-bytes", "100", "--path", "/echo"}};
    const auto result = parse(generator.read_line());
    EXPECT_EQ(generator.wait(), 0);
    EXPECT_EQ(result->getValue<int>("sent"), 200);
    EXPECT_EQ(result->getValue<int>("ok"), 200);
    raw_client client{port_of(address)};
    client.send("GET /ledger HTTP/1.1\r\nHost: h\r\n\r\n");
    const auto runs_by_id = parse(client.receive().body);
    EXPECT_EQ(runs_by_id->size(), 200U);
    for (const auto& name : runs_by_id->getNames()) {
        EXPECT_EQ(runs_by_id->getValue<int>(name), 1) << name;
    }
}

// Guards against measurements that count broken responses as successes.
TEST_F(test_programs, load_generator_counts_broken_responses_as_broken)
{
    const std::string created{"HTTP/1.1 200 OK\r\n"};
    for (const std::string& response :
         {std::string{"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n"},
          created + "X Y: 1\r\nContent-Length: 0\r\n\r\n", created + "Content-Length: 0\r\n",
          created + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"}) {
        const raw_target broken{{response, {}}};
        child_process generator{
            "load_generator",
            {broken.address(), "--rate", "20", "--duration-ms", "200", "--connections", "1"}};
        const auto result = parse(generator.read_line());
        EXPECT_EQ(generator.wait(), 0);
        EXPECT_EQ(result->getValue<int>("sent"), 4);
        EXPECT_EQ(result->getValue<int>("ok"), 0) << response;
        EXPECT_EQ(result->getObject("by_status")->optValue<int>("broken", 0), 4) << response;
    }
}

// Guards against the verdict not_run for a request that crashed its target.
TEST_F(test_programs, crash_of_the_target_process_may_have_run)
{
    child_process server{"target_server", {}};
    this->start();
    this->add_target(this->peer, "t", listening_address(server));
    this->publish();
    const auto response = this->call("x", "body", "x-crash: 1\r\n");
    EXPECT_EQ(response.status, 502U);
    EXPECT_EQ(response.verdict(), "may_have_run");
    EXPECT_EQ(server.wait(), 70);
    const auto after = this->call("y", "other");
    EXPECT_EQ(after.status, 502U);
    EXPECT_EQ(after.verdict(), "not_run");
}

// Guards against a target process that aborts requests in flight on SIGTERM.
TEST_F(test_programs, target_process_finishes_requests_at_sigterm)
{
    child_process server{"target_server", {"--drain-notice-ms", "50"}};
    this->start();
    this->add_target(this->peer, "t", listening_address(server));
    this->publish();
    client_response slow;
    std::thread caller{[this, &slow] {
        raw_client client{this->entry.proxy->ports().caller};
        client.send("GET /slow?ms=500 HTTP/1.1\r\nHost: h\r\n\r\n");
        slow = client.receive();
    }};
    std::this_thread::sleep_for(milliseconds{150});
    server.terminate();
    EXPECT_EQ(server.wait(), 0);
    caller.join();
    EXPECT_EQ(slow.status, 200U) << slow.head;
    EXPECT_TRUE(slow.complete);
}

// Guards against the verdict may_have_run for a request that the target shed.
TEST_F(test_programs, shed_load_is_not_run)
{
    child_process server{"target_server", {"--slots", "1", "--work-ms", "300"}};
    this->route.retry.max_attempts = 1;
    this->start();
    this->add_target(this->peer, "t", listening_address(server), 5);
    this->publish();
    std::thread first{[this] { EXPECT_EQ(this->call("1").status, 200U); }};
    std::this_thread::sleep_for(milliseconds{100});
    const auto response = this->call("2");
    first.join();
    EXPECT_EQ(response.status, 503U);
    EXPECT_EQ(response.verdict(), "not_run");
}

} // namespace
} // namespace kumquatdrift
