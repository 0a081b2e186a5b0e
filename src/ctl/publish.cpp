#include <algorithm>
#include <iomanip>
#include <ostream>
#include <sstream>
#include <utility>

#include "commands.hpp"
#include "log_reading.hpp"
#include "publishing.hpp"
#include "table.hpp"
#include "waiting.hpp"

namespace kumquatdrift::internal {

namespace {

/*! @brief Maximum number of node names in a message. */
constexpr std::size_t max_named_nodes = 10;

std::string format_seconds(microseconds duration)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << std::chrono::duration<double>{duration}.count() << " s";
    return std::move(text).str();
}

std::string list_nodes(const std::vector<std::string>& nodes)
{
    std::string text;
    for (std::size_t index = 0; index < std::min(nodes.size(), max_named_nodes); ++index) {
        text.append(index == 0 ? "" : ", ").append(nodes[index]);
    }
    const auto rest = nodes.size() - std::min(nodes.size(), max_named_nodes);
    return rest == 0 ? text : text + " and " + std::to_string(rest) + " more";
}

/*! @brief Rejects `--wait` without a node address before anything is published. */
std::optional<exit_code> check_wait_options(const command_context& context)
{
    if (context.options.wait && context.options.node.empty()) {
        return report_error(
            context, exit_code::invalid,
            "--wait needs the admin address of a node; give --node URL or set KUMQUATDRIFT_NODE");
    }
    return std::nullopt;
}

std::string describe_timeout(const wait_report& waited, config_version version)
{
    const auto prefix = "the edit was accepted, but version " + std::to_string(version) +
                        " is not in force on all live nodes after " + format_seconds(waited.elapsed) + ": ";
    if (!waited.reason.empty()) {
        return prefix + waited.reason + "; give the address of another node with --node";
    }
    return prefix + (waited.live == 0 ? "there is no live node" : "behind are " + list_nodes(waited.behind)) +
           "; see kumquatdriftctl status and trace-config";
}

exit_code wait_and_report(const command_context& context, config_version version, Poco::JSON::Object& json)
{
    const auto& options = context.options;
    const auto waited = wait_for_version(context.ports, options.node, version, options.wait_timeout);
    json.set("waited_ms", std::chrono::duration_cast<milliseconds>(waited.elapsed).count());
    json.set("live_nodes", waited.live);
    json.set("nodes_behind", waited.behind.size());
    if (!waited.reached) {
        return report_error(context, exit_code::wait_timeout, describe_timeout(waited, version));
    }
    if (!options.json) {
        context.out << "version " << version << " is in force on all " << waited.live << " live nodes after "
                    << format_seconds(waited.elapsed) << '\n';
    }
    if (waited.not_live > 0) {
        context.err << "kumquatdriftctl: " << waited.not_live
                    << " members are dead, unreachable or have left, and were not waited for\n";
    }
    return exit_code::ok;
}

void print_report(const command_context& context, const std::string& document, const publish_report& report)
{
    if (report.changed) {
        context.out << "published " << document << " as version " << report.version << " (edit "
                    << report.edit_id << ", " << report.bytes << " bytes"
                    << (report.patch ? ", as a patch" : "") << ")\n";
    }
    else {
        context.out << document << " is unchanged since version " << report.version
                    << "; nothing was published\n";
    }
}

exit_code publish_and_wait(const command_context& context, const config_from_log& loaded,
                           const std::string& document, const json_document& content)
{
    const auto& options = context.options;
    const auto report =
        publish_document(loaded.log, loaded.config.state, {document, content, options.author}, context.ports);
    if (report.code != exit_code::ok) {
        return report_error(context, report.code, report.reason);
    }
    auto json = make_object();
    json->set("document", document);
    json->set("changed", report.changed);
    json->set("version", report.version);
    json->set("edit_id", report.edit_id);
    json->set("bytes", report.bytes);
    json->set("patch", report.patch);
    if (!options.json) {
        print_report(context, document, report);
        context.out.flush();
    }
    const auto code = options.wait ? wait_and_report(context, report.version, *json) : exit_code::ok;
    if (options.json) {
        print_json(json, context.out);
    }
    return code;
}

} // namespace

exit_code run_publish(const command_context& context)
{
    if (const auto error = check_wait_options(context)) {
        return *error;
    }
    auto operands = context.options.operands;
    const auto document = consume_document_name(operands);
    if (!document) {
        return report_error(context, exit_code::invalid, document.last_reason());
    }
    if (operands.size() != 1) {
        return report_error(context, exit_code::invalid, "exactly one FILE is needed after the document");
    }
    const auto content = read_document(context, operands[0]);
    if (!content) {
        return report_error(context, exit_code::invalid, content.last_reason());
    }
    auto code = exit_code::failed;
    const auto loaded = load_config(context, recovery_start::latest, code);
    return loaded ? publish_and_wait(context, *loaded, *document, *content) : code;
}

exit_code run_revert(const command_context& context)
{
    if (const auto error = check_wait_options(context)) {
        return *error;
    }
    const auto& operand = context.options.operands[0];
    log_offset offset{};
    std::istringstream number{operand};
    if (!std::all_of(operand.begin(), operand.end(), [](char c) { return c >= '0' && c <= '9'; }) ||
        !(number >> offset)) {
        return report_error(context, exit_code::invalid,
                            "\"" + operand +
                                "\" is not an offset; see the column OFFSET of kumquatdriftctl history");
    }
    auto code = exit_code::failed;
    const auto loaded = load_config(context, recovery_start::latest, code);
    if (!loaded) {
        return code;
    }
    const auto before = state_at(loaded->batch, offset + 1);
    if (!before) {
        return report_error(context, exit_code::invalid, before.last_reason());
    }
    const auto edited = std::find_if(before->documents.begin(), before->documents.end(),
                                     [&](const auto& entry) { return entry.second.offset == offset; });
    if (edited == before->documents.end()) {
        return report_error(
            context, exit_code::invalid,
            "the record at offset " + operand +
                " is not an accepted edit; see kumquatdriftctl history for the accepted ones");
    }
    return publish_and_wait(context, *loaded, edited->first, edited->second.content);
}

} // namespace kumquatdrift::internal
