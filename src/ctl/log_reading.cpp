#include "log_reading.hpp"

#include <algorithm>
#include <utility>

#include <kumquatdrift/log/read_retained.hpp>

namespace kumquatdrift::internal {

std::optional<log_port> open_log(const command_context& context, exit_code& code)
{
    if (context.options.log.empty()) {
        code = report_error(context, exit_code::invalid,
                            "the address of the log is missing; give --log URL or set KUMQUATDRIFT_LOG");
        return std::nullopt;
    }
    auto log = context.ports.connect_log(context.options.log);
    if (!log) {
        code = report_error(context, exit_code::invalid, "--log: " + log.last_reason());
        return std::nullopt;
    }
    return std::move(*log);
}

std::optional<config_from_log> load_config(const command_context& context, recovery_start start,
                                           exit_code& code)
{
    auto log = open_log(context, code);
    if (!log) {
        return std::nullopt;
    }
    auto batch = read_retained(*log, config_stream);
    if (!batch) {
        code = report_error(context, exit_code::log_unavailable,
                            "the log cannot be read: " + batch.last_reason() + "; try again later");
        return std::nullopt;
    }
    auto config = recover(*batch, start);
    if (!config) {
        code = report_error(
            context, exit_code::failed,
            "the configuration cannot be read from the log: " + config.last_reason() +
                "; a live node writes a checkpoint within a quarter of the retention, try again then");
        return std::nullopt;
    }
    const auto& outcomes = config->outcomes;
    if (!outcomes.empty() && outcomes.back().kind == outcome_kind::unsupported) {
        code = report_error(context, exit_code::failed,
                            "offset " + std::to_string(outcomes.back().offset) +
                                " of the log: " + outcomes.back().reason);
        return std::nullopt;
    }
    return config_from_log{std::move(*log), std::move(*batch), std::move(*config)};
}

result<config_state> state_at(const log_batch& batch, config_version version)
{
    if (version == 0 || version > batch.bounds.end) {
        return failure{"version " + std::to_string(version) + " does not exist; accepted are 1 to " +
                       std::to_string(batch.bounds.end)};
    }
    if (version <= batch.bounds.earliest) {
        return failure{"version " + std::to_string(version) +
                       " has expired from the log; the oldest record is at offset " +
                       std::to_string(batch.bounds.earliest)};
    }
    const auto count = version - batch.bounds.earliest;
    const auto end = batch.records.begin() + static_cast<std::ptrdiff_t>(count);
    auto recovered = recover({{batch.bounds.earliest, version}, {batch.records.begin(), end}});
    if (!recovered) {
        return failure{"version " + std::to_string(version) +
                       " cannot be recovered: " + recovered.last_reason()};
    }
    return std::move(recovered->state);
}

result<std::string> consume_document_name(std::vector<std::string>& operands)
{
    if (!operands.empty() && operands[0] == base_document) {
        operands.erase(operands.begin());
        return std::string{base_document};
    }
    if (operands.size() < 2 || operands[0] != "overlay") {
        return failure{"the document is missing; accepted are base and overlay DATA_CENTRE"};
    }
    const auto name = overlay_name(operands[1]);
    operands.erase(operands.begin(), operands.begin() + 2);
    return validate_document_name(name);
}

result<json_document> read_document(const command_context& context, const std::string& path)
{
    const auto text = context.ports.read_file(path);
    if (!text) {
        return failure{text.last_reason()};
    }
    auto document = json_document::parse(*text);
    if (!document) {
        return failure{path + ": " + document.last_reason()};
    }
    return document;
}

} // namespace kumquatdrift::internal
