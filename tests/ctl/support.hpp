#ifndef KUMQUATDRIFT_TESTS_CTL_SUPPORT_HPP
#define KUMQUATDRIFT_TESTS_CTL_SUPPORT_HPP

#include <functional>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include <kumquatdrift/config/recovery.hpp>
#include <kumquatdrift/ctl/run.hpp>
#include <kumquatdrift/log/read_retained.hpp>

#include <support/memory_log.hpp>

namespace kumquatdrift::testing_support {

/*! @brief Valid base document with two services and one route. */
inline const std::string valid_base =
    R"({"services":{"balcao":{"queue_limit":40},"atelier":{}},"routes":{"reserve":{"service":"balcao",)"
    R"("path_prefix":"/reservations","methods":["POST"],"idempotency_key_header":"Idempotency-Key"}}})";

/*! @brief Runs commands against an in-memory log, files in a map and a clock that only `sleep` advances. */
class ctl_test : public testing::Test {
protected:
    ctl_test()
    {
        this->ports.connect_log = [this](const std::string& url) -> result<log_port> {
            if (url != "log") {
                return failure{"not an address"};
            }
            auto port = this->log.port();
            port.append = [this](std::string_view stream, std::string payload) {
                ++this->appends;
                if (this->before_append) {
                    this->before_append(payload);
                }
                auto appended = this->log.append(stream, std::move(payload));
                if (this->after_append) {
                    this->after_append();
                }
                return appended;
            };
            return port;
        };
        this->ports.fetch_status = [this](const std::string&) -> result<std::string> {
            if (this->statuses.empty()) {
                return failure{"connection refused"};
            }
            auto body = this->statuses.front();
            if (this->statuses.size() > 1) {
                this->statuses.erase(this->statuses.begin());
            }
            return body;
        };
        this->ports.read_file = [this](const std::string& path) -> result<std::string> {
            const auto found = this->files.find(path);
            return found != this->files.end() ? result<std::string>{found->second}
                                              : failure{path + " is missing"};
        };
        this->ports.environment = [this](const std::string& name) -> std::optional<std::string> {
            const auto found = this->environment.find(name);
            return found != this->environment.end() ? std::optional{found->second} : std::nullopt;
        };
        this->ports.make_edit_id = [this] { return "id-" + std::to_string(++this->edit_ids); };
        this->ports.now = [this] { return this->clock; };
        this->ports.sleep = [this](milliseconds duration) { this->clock += duration; };
    }

    /**
     * @brief Runs a command.
     * @param arguments Arguments without the program name.
     * @return The exit code. The output is stored in `out` and `err`.
     */
    exit_code run(const std::vector<std::string>& arguments)
    {
        std::ostringstream results;
        std::ostringstream errors;
        const auto code = run_ctl(arguments, this->ports, results, errors);
        this->out = std::move(results).str();
        this->err = std::move(errors).str();
        return code;
    }

    /**
     * @brief Runs `publish` with a file of the given content.
     * @param arguments Arguments before the file, such as `base` or `overlay belem`.
     * @param content Content of the file.
     * @return The exit code.
     */
    exit_code publish(std::vector<std::string> arguments, const std::string& content)
    {
        this->files["file"] = content;
        arguments.insert(arguments.begin(), "publish");
        arguments.emplace_back("file");
        return this->run(arguments);
    }

    /**
     * @brief Recovers the configuration from the retained records of the log.
     * @return State and outcomes of the records.
     */
    recovered_config recover_log()
    {
        const auto batch = read_retained(this->log.port(), config_stream);
        return *recover(*batch);
    }

    /*! @brief Checks that the error output contains a text. */
    void expect_error(const std::string& text) const
    {
        EXPECT_NE(this->err.find(text), std::string::npos) << this->err;
    }

    /*! @brief Checks that the output contains a text. */
    void expect_output(const std::string& text) const
    {
        EXPECT_NE(this->out.find(text), std::string::npos) << this->out;
    }

    memory_log log{};
    std::function<void(const std::string& payload)> before_append{};
    std::function<void()> after_append{};
    int appends{};
    std::vector<std::string> statuses{};
    std::map<std::string, std::string> files{};
    std::map<std::string, std::string> environment{{"KUMQUATDRIFT_LOG", "log"}, {"USER", "ana"}};
    int edit_ids{};
    timestamp clock{};
    ctl_ports ports{};
    std::string out{};
    std::string err{};
};

} // namespace kumquatdrift::testing_support

#endif
