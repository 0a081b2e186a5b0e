#include <algorithm>
#include <ostream>
#include <set>
#include <utility>

#include "commands.hpp"
#include "log/http_client.hpp"
#include "log_reading.hpp"
#include "node_status.hpp"
#include "table.hpp"

namespace kumquatdrift::internal {

namespace {

using cell = Poco::Dynamic::Var;

std::optional<node_status> fetch_node_status(const command_context& context, const std::string& address,
                                             exit_code& code)
{
    if (address.empty()) {
        code =
            report_error(context, exit_code::invalid,
                         "the admin address of a node is missing; give --node URL or set KUMQUATDRIFT_NODE");
        return std::nullopt;
    }
    const auto body = context.ports.fetch_status(address);
    auto status = body ? decode_status(*body) : result<node_status>{failure{body.last_reason()}};
    if (!status) {
        code = report_error(context, exit_code::failed,
                            "the node does not report its status: " + status.last_reason() +
                                "; give the admin address of another node with --node");
        return std::nullopt;
    }
    return std::move(*status);
}

std::string count_targets(const status_member& member)
{
    const auto ready = std::count_if(member.targets.begin(), member.targets.end(),
                                     [](const auto& target) { return target.state == "ready"; });
    return std::to_string(ready) + "/" + std::to_string(member.targets.size());
}

table make_member_table(const node_status& status, bool all)
{
    table members{{"node", "data_centre", "status", "state", "version", "age_ms", "targets_ready"}, {}};
    for (const auto& member : status.members) {
        if (all || is_live(member)) {
            members.rows.push_back({member.node, member.data_centre, member.status, member.state,
                                    member.version, member.age_ms, count_targets(member)});
        }
    }
    return members;
}

/*! @brief Totals in the summary of `status`. */
struct mesh_summary {
    std::size_t live{};
    std::size_t not_live{};
    std::size_t targets{};
    config_version newest_version{};
    std::size_t nodes_at_newest{};
    std::set<std::string> data_centres{};
};

mesh_summary summarise(const node_status& status)
{
    mesh_summary summary;
    for (const auto& member : status.members) {
        if (!is_live(member)) {
            ++summary.not_live;
            continue;
        }
        ++summary.live;
        summary.targets += member.targets.size();
        summary.data_centres.insert(member.data_centre);
        if (member.version > summary.newest_version) {
            summary.newest_version = member.version;
            summary.nodes_at_newest = 0;
        }
        summary.nodes_at_newest += member.version == summary.newest_version ? 1 : 0;
    }
    return summary;
}

void print_summary(const command_context& context, const node_status& status, const mesh_summary& summary)
{
    context.out << summary.live << " live nodes in " << summary.data_centres.size() << " data centres, "
                << summary.nodes_at_newest << " at version " << summary.newest_version << ", "
                << summary.live - summary.nodes_at_newest << " behind; " << summary.not_live << " not live; "
                << summary.targets << " targets; as seen by " << status.node << '\n';
}

Poco::JSON::Object::Ptr to_json(const node_status& status, const mesh_summary& summary, bool all)
{
    auto object = make_object();
    object->set("as_seen_by", status.node);
    object->set("members", to_json(make_member_table(status, all)));
    object->set("live", summary.live);
    object->set("not_live", summary.not_live);
    object->set("newest_version", summary.newest_version);
    object->set("behind", summary.live - summary.nodes_at_newest);
    object->set("targets", summary.targets);
    return object;
}

/*! @brief Configuration of one node, compared with the log if it was read. */
struct config_trace {
    node_status queried{};
    status_member member{};
    std::optional<config_from_log> log_config{};
    std::optional<config_state> state_in_force{};
    std::string explanation{};

    /*! @brief Checks whether the member is the queried node, the only one that reports its readiness, source
     * and outcomes. */
    [[nodiscard]] bool is_queried_node() const
    {
        return this->member.node == this->queried.node;
    }
};

table make_document_table(const config_trace& trace)
{
    table documents{{"document", "version", "author", "edit_id"}, {}};
    const auto overlay = overlay_name(trace.member.data_centre);
    if (trace.state_in_force) {
        for (const auto& [name, document] : trace.state_in_force->documents) {
            if (name == base_document || name == overlay) {
                documents.rows.push_back({name, document.offset + 1, document.author, document.edit_id});
            }
        }
    }
    return documents;
}

table make_later_records_table(const config_trace& trace)
{
    table records{{"offset", "outcome", "document", "author", "edit_id", "reason"}, {}};
    if (trace.log_config) {
        for (const auto& outcome : trace.log_config->config.outcomes) {
            if (outcome.offset >= trace.member.version && outcome.kind != outcome_kind::checkpoint) {
                records.rows.push_back({outcome.offset, std::string{to_name(outcome.kind)}, outcome.document,
                                        outcome.author, outcome.edit_id,
                                        outcome.reason.empty() ? cell{} : cell{outcome.reason}});
            }
        }
    }
    return records;
}

table make_outcome_table(const config_trace& trace)
{
    table outcomes{{"offset", "outcome", "reason"}, {}};
    if (trace.is_queried_node()) {
        for (const auto& outcome : trace.queried.last_outcomes) {
            outcomes.rows.push_back(
                {outcome.offset, outcome.kind, outcome.reason.empty() ? cell{} : cell{outcome.reason}});
        }
    }
    return outcomes;
}

std::string explain(const config_trace& trace)
{
    const auto& outcomes = trace.queried.last_outcomes;
    if (trace.is_queried_node() && !outcomes.empty() && outcomes.back().kind == "unsupported") {
        return "the node stopped at offset " + std::to_string(outcomes.back().offset) + ": " +
               outcomes.back().reason;
    }
    if (!trace.log_config) {
        return "the log was not read, so it is not known whether there is a newer version; give --log URL";
    }
    const auto newest = trace.log_config->config.state.version;
    if (trace.member.version == newest) {
        return "the node has the newest accepted version in force";
    }
    if (trace.member.version > newest) {
        return "the node has a version that the log does not have; check that --log is the log of this mesh";
    }
    if (trace.is_queried_node() && trace.queried.next_offset >= newest) {
        return "the node has folded version " + std::to_string(newest) +
               ", but has not put it in force; it waits until its view of the members is synchronised";
    }
    return "the node has not received version " + std::to_string(newest) + " from its source yet" +
           (trace.is_queried_node() ? " (" + trace.queried.config_source + ")" : "");
}

void print_section(const command_context& context, const char* title, const table& content)
{
    if (!content.rows.empty()) {
        context.out << '\n' << title << ":\n";
        print_text(content, context.out);
    }
}

void print_trace(const command_context& context, const config_trace& trace)
{
    context.out << "node " << trace.member.node << " in data centre " << trace.member.data_centre << ", "
                << trace.member.status << ", " << trace.member.state << '\n'
                << "version in force: " << trace.member.version;
    if (trace.is_queried_node()) {
        context.out << (trace.queried.ready ? ", ready" : ", not ready") << "; next offset "
                    << trace.queried.next_offset << "; records from " << trace.queried.config_source;
    }
    context.out << '\n';
    if (trace.log_config) {
        context.out << "newest version in the log: " << trace.log_config->config.state.version << '\n';
    }
    context.out << trace.explanation << '\n';
    print_section(context, "documents in force", make_document_table(trace));
    print_section(context, "records since the version in force", make_later_records_table(trace));
    print_section(context, "last outcomes at the node", make_outcome_table(trace));
}

Poco::JSON::Object::Ptr to_json(const config_trace& trace)
{
    auto object = make_object();
    object->set("node", trace.member.node);
    object->set("data_centre", trace.member.data_centre);
    object->set("version", trace.member.version);
    object->set("newest_version", trace.log_config ? cell{trace.log_config->config.state.version} : cell{});
    object->set("explanation", trace.explanation);
    object->set("documents", to_json(make_document_table(trace)));
    object->set("records_since", to_json(make_later_records_table(trace)));
    object->set("last_outcomes", to_json(make_outcome_table(trace)));
    return object;
}

/*! @brief Finds the member to trace: the named one, or the queried node if the name is empty. Prints an error
 * if the queried node does not know the name. */
std::optional<status_member> find_member(const command_context& context, const node_status& status,
                                         const std::string& name)
{
    const auto& wanted = name.empty() ? status.node : name;
    const auto found = std::find_if(status.members.begin(), status.members.end(),
                                    [&](const auto& member) { return member.node == wanted; });
    if (found != status.members.end()) {
        return *found;
    }
    if (name.empty()) {
        return status_member{status.node, status.data_centre, "alive", "alive", status.version, 0, {}};
    }
    report_error(context, exit_code::invalid,
                 "node " + name + " is not known to " + status.node + "; see kumquatdriftctl status --all");
    return std::nullopt;
}

} // namespace

exit_code run_status(const command_context& context)
{
    auto code = exit_code::failed;
    const auto status = fetch_node_status(context, context.options.node, code);
    if (!status) {
        return code;
    }
    const auto summary = summarise(*status);
    if (context.options.json) {
        print_json(to_json(*status, summary, context.options.all), context.out);
        return exit_code::ok;
    }
    print_text(make_member_table(*status, context.options.all), context.out);
    print_summary(context, *status, summary);
    return exit_code::ok;
}

exit_code run_trace_config(const command_context& context)
{
    const auto& node = context.options.node;
    const auto is_address = node.empty() || parse_service_address(node);
    const auto address = is_address ? node : context.ports.environment("KUMQUATDRIFT_NODE").value_or("");
    if (!is_address && address.empty()) {
        return report_error(
            context, exit_code::invalid,
            "\"" + node +
                "\" is the name of a node; set KUMQUATDRIFT_NODE to the admin address of any node "
                "to ask about it");
    }
    auto code = exit_code::failed;
    auto status = fetch_node_status(context, address, code);
    if (!status) {
        return code;
    }
    auto member = find_member(context, *status, is_address ? "" : node);
    if (!member) {
        return exit_code::invalid;
    }
    config_trace trace{std::move(*status), std::move(*member), {}, {}, {}};
    if (!context.options.log.empty()) {
        trace.log_config = load_config(context, recovery_start::earliest, code);
    }
    if (trace.log_config && trace.member.version > 0) {
        trace.state_in_force = state_at(trace.log_config->batch, trace.member.version).value();
    }
    trace.explanation = explain(trace);
    if (context.options.json) {
        print_json(to_json(trace), context.out);
    }
    else {
        print_trace(context, trace);
    }
    return exit_code::ok;
}

} // namespace kumquatdrift::internal
