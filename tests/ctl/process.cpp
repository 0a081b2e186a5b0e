#include <kumquatdrift/ctl/run.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <thread>

#include <gtest/gtest.h>

#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/TemporaryFile.h>

#include <kumquatdrift/config/records.hpp>
#include <kumquatdrift/log/http.hpp>

#include <support/log_service.hpp>

#include "support.hpp"

namespace kumquatdrift {
namespace {

/*! @brief Runs the real program against a log_server process. */
class ctl_process : public testing::Test {
protected:
    ctl_process()
    {
        std::ofstream{this->base.path()} << testing_support::valid_base;
    }

    int run(std::vector<std::string> arguments) const
    {
        arguments.insert(arguments.end(), {"--log", this->service.address()});
        child_process program{KUMQUATDRIFT_BIN_DIR "/kumquatdriftctl", arguments};
        while (!program.read_line().empty()) {}
        return program.wait();
    }

    [[nodiscard]] log_offset log_end() const
    {
        return make_http_log_port({.url = this->service.address()})->bounds(config_stream)->end;
    }

    log_service service{};
    Poco::TemporaryFile base{};
};

// Guards against a duplicate or missing record when log_server appends a record but the response is lost.
TEST_F(ctl_process, lost_response_over_http_leads_to_one_record_and_success)
{
    ASSERT_EQ(this->service.control(R"({"lose_answers":1})").first, 200);
    EXPECT_EQ(this->run({"publish", "base", this->base.path()}), 0);
    EXPECT_EQ(this->log_end(), 1U);
    EXPECT_NE(this->service.control().second.find("\"lost_answers\":1"), std::string::npos);
}

// Guards against duplicate records while the log loses several responses in a row: a record that the log
// already contains must not be appended again.
TEST_F(ctl_process, several_lost_responses_lead_to_one_record)
{
    ASSERT_EQ(this->service.control(R"({"lose_answers":3})").first, 200);
    EXPECT_EQ(this->run({"publish", "base", this->base.path()}), 0);
    EXPECT_EQ(this->log_end(), 1U);
}

// Guards against an outage of the log and wrong usage with the same exit code, which scripts could not tell
// apart.
TEST_F(ctl_process, outage_and_wrong_usage_have_their_exit_codes)
{
    EXPECT_EQ(this->run({"publish", "base", "/nonexistent"}), 2);
    ASSERT_EQ(this->service.control(R"({"outage":true})").first, 200);
    EXPECT_EQ(this->run({"publish", "base", this->base.path()}), 4);
    EXPECT_EQ(this->run({"history"}), 4);
}

// Guards against operators that overwrite the edits of each other: of concurrent edits with the same parent,
// exactly one is accepted.
TEST_F(ctl_process, exactly_one_of_concurrent_edits_of_a_document_is_accepted)
{
    ASSERT_EQ(this->run({"publish", "base", this->base.path()}), 0);
    constexpr int operators = 8;
    std::vector<std::thread> threads;
    threads.reserve(operators);
    for (int number = 0; number < operators; ++number) {
        threads.emplace_back([this, number] {
            const auto log = make_http_log_port({.url = this->service.address()});
            const auto content =
                json_document::parse(R"({"services":{"s)" + std::to_string(number) + R"(":{}}})");
            const auto id = "edit-" + std::to_string(number);
            const auto edit =
                make_edit_record({.document = "base", .parent = 0, .edit_id = id, .content = *content});
            EXPECT_EQ(log->append(config_stream, edit).effect, verdict::ran);
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    const auto batch = read_retained(*make_http_log_port({.url = this->service.address()}), config_stream);
    const auto recovered = recover(*batch);
    ASSERT_EQ(recovered->outcomes.size(), 1U + operators);
    EXPECT_EQ(recovered->outcomes[1].kind, outcome_kind::accepted);
    for (std::size_t index = 2; index < recovered->outcomes.size(); ++index) {
        EXPECT_EQ(recovered->outcomes[index].kind, outcome_kind::lost_race);
    }
}

// Guards against an exit code that contradicts the log: an edit is reported as accepted although it was not,
// or the reverse, while several operators publish base and overlay concurrently and responses are lost.
TEST_F(ctl_process, exit_codes_of_concurrent_operators_agree_with_the_log)
{
    ASSERT_EQ(this->run({"publish", "base", this->base.path()}), 0);
    ASSERT_EQ(this->service.control(R"({"lose_answers":3})").first, 200);
    constexpr int operators = 6;
    std::array<int, operators> codes{};
    std::array<Poco::TemporaryFile, operators> files;
    std::vector<std::thread> threads;
    threads.reserve(operators);
    for (int number = 0; number < operators; ++number) {
        const auto index = static_cast<std::size_t>(number);
        std::ofstream{files[index].path()} << R"({"services":{"balcao":{"queue_limit":)" << number << "}}}";
        const std::vector<std::string> document =
            number % 2 == 0 ? std::vector<std::string>{"base"} : std::vector<std::string>{"overlay", "belem"};
        threads.emplace_back([this, index, document, &codes, &files] {
            auto arguments = document;
            arguments.insert(arguments.begin(), "publish");
            arguments.push_back(files[index].path());
            codes[index] = this->run(arguments);
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    const auto batch = read_retained(*make_http_log_port({.url = this->service.address()}), config_stream);
    const auto outcomes = recover(*batch)->outcomes;
    const auto accepted = std::count_if(outcomes.begin(), outcomes.end(), [](const auto& outcome) {
        return outcome.kind == outcome_kind::accepted;
    });
    EXPECT_EQ(std::count(codes.begin(), codes.end(), 0) + 1, accepted);
    EXPECT_EQ(std::count(codes.begin(), codes.end(), 3), operators + 1 - accepted);
}

/*! @brief Serves the status of a node at `/v1/status`, as the admin listener does. */
class status_handler : public Poco::Net::HTTPRequestHandler {
public:
    void handleRequest(Poco::Net::HTTPServerRequest& request,
                       Poco::Net::HTTPServerResponse& response) override
    {
        const std::string body =
            R"({"node":"n1","data_centre":"belem","version":1,"ready":true,"source":"log","members":[{"node":"n1",
            "data_centre":"belem","status":"alive","state":"alive","version":1,"age_ms":0,"targets":[]}]})";
        response.setStatus(request.getURI() == "/v1/status" ? Poco::Net::HTTPResponse::HTTP_OK
                                                            : Poco::Net::HTTPResponse::HTTP_NOT_FOUND);
        response.sendBuffer(body.data(), body.size());
    }
};

class status_factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    Poco::Net::HTTPRequestHandler* createRequestHandler(const Poco::Net::HTTPServerRequest&) override
    {
        return new status_handler;
    }
};

// Guards against a client that requests a different status path than the node serves.
TEST_F(ctl_process, wait_reads_the_status_from_the_admin_port)
{
    Poco::Net::ServerSocket socket{Poco::Net::SocketAddress{"127.0.0.1:0"}};
    Poco::Net::HTTPServer node{new status_factory, socket, new Poco::Net::HTTPServerParams};
    node.start();
    const auto address = socket.address().toString();
    EXPECT_EQ(this->run({"publish", "base", this->base.path(), "--wait", "--node", address}), 0);
    EXPECT_EQ(this->run({"publish", "overlay", "belem", this->base.path(), "--wait", "--wait-timeout-s", "1",
                         "--node", address}),
              5);
    node.stop();
}

} // namespace
} // namespace kumquatdrift
