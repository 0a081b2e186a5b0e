#include <kumquatdrift/gateway/settings.hpp>

#include <fstream>
#include <limits>
#include <optional>
#include <sstream>

#include <nlohmann/json.hpp>

#include <kumquatdrift/gateway/gateway.hpp>

#include "socket_stream.hpp"

namespace kumquatdrift {
namespace {

using nlohmann::json;

/*! @brief Reads and validates the members of a JSON document; keeps the first error. */
class member_reader {
public:
    explicit member_reader(const json& source) : document{source} {}

    void text(const char* path, std::string& output, bool required = true)
    {
        const auto* member = this->find(path, required);
        if (member != nullptr &&
            (!member->is_string() || (required && member->get_ref<const std::string&>().empty()))) {
            this->set_error(path, "must be a non-empty string");
        }
        else if (member != nullptr) {
            output = member->get<std::string>();
        }
    }

    void address(const char* path, std::string& output, bool required = true)
    {
        this->text(path, output, required);
        if (this->first_error.empty() && !output.empty() && !parse_address(output)) {
            this->set_error(path, "must be of the form IP:PORT");
        }
    }

    void number(const char* path, double& output, double min, double max)
    {
        const auto* member = this->find(path, false);
        if (member == nullptr || member->is_null()) {
            return;
        }
        if (!member->is_number() || member->get<double>() < min || member->get<double>() > max) {
            this->set_error(path,
                            "must be a number from " + std::to_string(min) + " to " + std::to_string(max));
            return;
        }
        output = member->get<double>();
    }

    void seconds(const char* path, microseconds& output, double min, double max)
    {
        auto value = std::chrono::duration<double>{output}.count();
        this->number(path, value, min, max);
        output = std::chrono::duration_cast<microseconds>(std::chrono::duration<double>{value});
    }

    void count(const char* path, std::size_t& output, double min, double max)
    {
        auto value = static_cast<double>(output);
        this->number(path, value, min, max);
        output = static_cast<std::size_t>(value);
    }

    void flag(const char* path, bool& output)
    {
        const auto* member = this->find(path, false);
        if (member != nullptr && !member->is_null() && !member->is_boolean()) {
            this->set_error(path, "must be true or false");
        }
        else if (member != nullptr && member->is_boolean()) {
            output = member->get<bool>();
        }
    }

    void level(const char* path, log_level& output)
    {
        std::string name{to_name(output)};
        this->text(path, name, false);
        if (const auto parsed = from_name<log_level>(name)) {
            output = *parsed;
        }
        else {
            this->set_error(path, "must be debug, info, warn or error");
        }
    }

    [[nodiscard]] const std::string& error() const noexcept
    {
        return this->first_error;
    }

private:
    const json* find(const char* path, bool required)
    {
        const json::json_pointer pointer{path};
        if (this->document.contains(pointer)) {
            return &this->document.at(pointer);
        }
        if (required) {
            this->set_error(path, "is missing");
        }
        return nullptr;
    }

    void set_error(const char* path, const std::string& message)
    {
        if (this->first_error.empty()) {
            this->first_error = std::string{path} + " " + message;
        }
    }

    const json& document;
    std::string first_error{};
};

} // namespace

result<gateway_settings> parse_gateway_settings(const std::string& text)
{
    const auto document = json::parse(text, nullptr, false, true);
    if (!document.is_object()) {
        return failure{"the settings are not a JSON object"};
    }
    gateway_settings settings{};
    member_reader reader{document};
    reader.text("/node", settings.node);
    reader.text("/data_centre", settings.data_centre);
    reader.text("/ip", settings.ip);
    reader.text("/service", settings.service);
    reader.address("/target", settings.target_address);
    reader.address("/listen/callers", settings.callers_address);
    reader.address("/listen/peers", settings.peers_address);
    reader.address("/listen/reports", settings.reports_address);
    reader.address("/listen/ready", settings.ready_address);
    reader.address("/listen/metrics", settings.metrics_address, false);
    reader.address("/store", settings.store_address);
    reader.seconds("/report_interval_s", settings.report_interval, 0.1, 60.0);
    reader.seconds("/grace_s", settings.grace, 1.0, 600.0);
    reader.number("/retries/share", settings.retry_ratio, 0.0, 10.0);
    reader.number("/retries/extra", settings.retry_extra, 0.0, 1e6);
    reader.seconds("/retries/window_s", settings.retry_window, 0.1, 600.0);
    reader.count("/memory_mb", settings.memory_mb, 16, 1e6);
    reader.count("/max_descriptors", settings.max_descriptors, 256, 1e7);
    reader.level("/log", settings.log);
    reader.number("/placement/other_node", settings.placement.other_node, 0.0, 10.0);
    reader.number("/placement/other_data_centre", settings.placement.other_data_centre, 0.0, 10.0);
    reader.flag("/revocation/strict", settings.revocation.strict);
    reader.seconds("/revocation/bound_s", settings.revocation.bound, 0.5, 600.0);
    reader.seconds("/usage_caps/window_s", settings.usage_caps.window, 0.1, 600.0);
    reader.number("/usage_caps/excess", settings.usage_caps.excess, 0.0, 10.0);
    reader.number("/usage_caps/slack", settings.usage_caps.slack, 0.0, 1e6);
    reader.number("/rollouts/exposure_share", settings.rollouts.exposure_share, 0.0, 1.0);
    reader.number("/rollouts/exposure_slack", settings.rollouts.exposure_slack, 0.0, 1e6);
    reader.seconds("/rollouts/revert_s", settings.rollouts.revert_time, 0.5, 600.0);
    reader.number("/clients/min_pace_kb_s", settings.clients.min_pace_kb, 0.0, 1e6);
    reader.seconds("/clients/stall_s", settings.clients.stall, 0.5, 600.0);
    if (!reader.error().empty()) {
        return failure{reader.error()};
    }
    return settings;
}

result<gateway_settings> load_gateway_settings(const std::string& path)
{
    std::ifstream file{path};
    std::ostringstream text{};
    text << file.rdbuf();
    if (!file) {
        return failure{"cannot read the settings file " + path};
    }
    return parse_gateway_settings(text.str());
}

} // namespace kumquatdrift
