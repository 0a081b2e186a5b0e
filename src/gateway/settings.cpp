#include <kumquatdrift/gateway/settings.hpp>

#include <limits>
#include <optional>

#include <nlohmann/json.hpp>

#include "stream.hpp"

namespace kumquatdrift {
namespace {

using nlohmann::json;

/*! @brief Reads members one by one and keeps the first thing that is wrong. */
class member_reader {
public:
    explicit member_reader(const json& from) : source{from} {}

    void text(const char* path, std::string& into, bool required = true)
    {
        const auto* value = this->find(path, required);
        if (value != nullptr &&
            (!value->is_string() || (required && value->get_ref<const std::string&>().empty()))) {
            this->fail(path, "must be a text that is not empty");
        }
        else if (value != nullptr) {
            into = value->get<std::string>();
        }
    }

    void address(const char* path, std::string& into, bool required = true)
    {
        this->text(path, into, required);
        if (this->problem.empty() && !into.empty() && !parse_address(into)) {
            this->fail(path, "must be of the form IP:PORT");
        }
    }

    void number(const char* path, double& into, double lowest, double highest)
    {
        const auto* value = this->find(path, false);
        if (value == nullptr) {
            return;
        }
        if (!value->is_number() || value->get<double>() < lowest || value->get<double>() > highest) {
            this->fail(path,
                       "must be a number from " + std::to_string(lowest) + " to " + std::to_string(highest));
            return;
        }
        into = value->get<double>();
    }

    void seconds(const char* path, microseconds& into, double lowest, double highest)
    {
        auto value = std::chrono::duration<double>{into}.count();
        this->number(path, value, lowest, highest);
        into = std::chrono::duration_cast<microseconds>(std::chrono::duration<double>{value});
    }

    void count(const char* path, std::size_t& into, double lowest, double highest)
    {
        auto value = static_cast<double>(into);
        this->number(path, value, lowest, highest);
        into = static_cast<std::size_t>(value);
    }

    void level(const char* path, log_level& into)
    {
        std::string name{to_name(into)};
        this->text(path, name, false);
        if (const auto known = from_name<log_level>(name)) {
            into = *known;
        }
        else {
            this->fail(path, "must be debug, info, warn or error");
        }
    }

    [[nodiscard]] const std::string& first_problem() const noexcept
    {
        return this->problem;
    }

private:
    const json* find(const char* path, bool required)
    {
        const json::json_pointer pointer{path};
        if (this->source.contains(pointer)) {
            return &this->source.at(pointer);
        }
        if (required) {
            this->fail(path, "is missing");
        }
        return nullptr;
    }

    void fail(const char* path, const std::string& what)
    {
        if (this->problem.empty()) {
            this->problem = std::string{path} + " " + what;
        }
    }

    const json& source;
    std::string problem{};
};

} // namespace

result<gateway_settings> parse_gateway_settings(const std::string& text)
{
    const auto document = json::parse(text, nullptr, false, true);
    if (!document.is_object()) {
        return failure{"the settings are not a JSON object"};
    }
    gateway_settings settings{};
    member_reader read{document};
    read.text("/node", settings.node);
    read.text("/data_centre", settings.data_centre);
    read.text("/ip", settings.ip);
    read.text("/service", settings.service);
    read.address("/target", settings.target_address);
    read.address("/listen/callers", settings.callers_address);
    read.address("/listen/peers", settings.peers_address);
    read.address("/listen/reports", settings.reports_address);
    read.address("/listen/ready", settings.ready_address);
    read.address("/listen/metrics", settings.metrics_address, false);
    read.address("/store", settings.store_address);
    read.seconds("/report_interval_s", settings.report_interval, 0.1, 60.0);
    read.seconds("/grace_s", settings.grace, 1.0, 600.0);
    read.number("/retries/share", settings.retry_ratio, 0.0, 10.0);
    read.number("/retries/extra", settings.retry_extra, 0.0, 1e6);
    read.seconds("/retries/window_s", settings.retry_window, 0.1, 600.0);
    read.count("/memory_mb", settings.memory_mb, 16, 1e6);
    read.count("/max_descriptors", settings.max_descriptors, 256, 1e7);
    read.level("/log", settings.log);
    read.number("/placement/other_node", settings.placement.other_node, 0.0, 10.0);
    read.number("/placement/other_data_centre", settings.placement.other_data_centre, 0.0, 10.0);
    if (!read.first_problem().empty()) {
        return failure{read.first_problem()};
    }
    return settings;
}

} // namespace kumquatdrift
