#include <ostream>
#include <utility>

#include <kumquatdrift/config/changes.hpp>

#include "commands.hpp"
#include "log_reading.hpp"
#include "table.hpp"

namespace kumquatdrift::internal {

namespace {

using cell = Poco::Dynamic::Var;

cell cell_of(const std::string& text)
{
    return text.empty() ? cell{} : cell{text};
}

cell cell_of(const std::optional<std::string>& text)
{
    return text ? cell{*text} : cell{};
}

void print_table(const command_context& context, const table& rows)
{
    if (context.options.json) {
        print_json(to_json(rows), context.out);
    }
    else {
        print_text(rows, context.out);
    }
}

/*! @brief Checks `--document`; an empty one is accepted. */
bool has_valid_document(const command_context& context)
{
    const auto& document = context.options.document;
    const auto name = validate_document_name(document);
    if (!document.empty() && !name) {
        report_error(context, exit_code::invalid, name.last_reason());
        return false;
    }
    return true;
}

/*! @brief Returns the state as of a version, the current one by default. */
result<config_state> state_of(const config_reading& reading, std::optional<std::uint64_t> version)
{
    if (version) {
        return state_at(reading.batch, *version);
    }
    return reading.config.state;
}

exit_code show_documents(const command_context& context, const config_state& state)
{
    table rows{{"document", "version", "author", "edit_id", "bytes"}, {}};
    for (const auto& [name, document] : state.documents) {
        rows.rows.push_back({name, document.offset + 1, cell_of(document.author), cell_of(document.edit_id),
                             document.content.text().size()});
    }
    print_table(context, rows);
    return exit_code::ok;
}

exit_code show_text(const command_context& context, const result<json_document>& document)
{
    if (!document) {
        return report_error(context, exit_code::failed, document.last_reason());
    }
    context.out << document->pretty() << '\n';
    return exit_code::ok;
}

result<json_document> content_of(const config_state& state, const std::string& document)
{
    const auto* const found = find_document(state, document);
    if (found == nullptr) {
        return failure{"document " + document + " does not exist in version " +
                       std::to_string(state.version)};
    }
    return found->content;
}

exit_code print_changes(const command_context& context, const json_document& from, const json_document& to)
{
    table rows{{"place", "before", "after"}, {}};
    for (const auto& change : list_changes(from, to)) {
        rows.rows.push_back({change.place, cell_of(change.before), cell_of(change.after)});
    }
    if (rows.rows.empty() && !context.options.json) {
        context.out << "no difference\n";
        return exit_code::ok;
    }
    print_table(context, rows);
    return exit_code::ok;
}

/*! @brief Returns the content to compare with: a file, or a version. */
result<json_document> compared_content(const command_context& context, const config_reading& reading,
                                       const std::string& document, const std::vector<std::string>& files)
{
    if (!files.empty()) {
        return read_document(context, files[0]);
    }
    const auto state = state_of(reading, context.options.to);
    return state ? content_of(*state, document) : result<json_document>{failure{state.last_reason()}};
}

} // namespace

exit_code run_history(const command_context& context)
{
    if (!has_valid_document(context)) {
        return exit_code::invalid;
    }
    auto code = exit_code::failed;
    const auto reading = read_config(context, recovery_start::earliest, code);
    if (!reading) {
        return code;
    }
    const auto& options = context.options;
    table rows{{"offset", "outcome", "document", "parent", "author", "edit_id", "reason"}, {}};
    for (const auto& outcome : reading->config.outcomes) {
        if (!options.document.empty() && outcome.document != options.document) {
            continue;
        }
        rows.rows.push_back({outcome.offset, std::string{to_name(outcome.kind)}, cell_of(outcome.document),
                             outcome.parent ? cell{*outcome.parent} : cell{}, cell_of(outcome.author),
                             cell_of(outcome.edit_id), cell_of(outcome.reason)});
    }
    if (options.limit > 0 && rows.rows.size() > options.limit) {
        rows.rows.erase(rows.rows.begin(), rows.rows.end() - static_cast<std::ptrdiff_t>(options.limit));
    }
    print_table(context, rows);
    if (reading->config.checkpoint) {
        context.err << "kumquatdriftctl: older records have expired; the history starts from the checkpoint "
                       "at offset "
                    << *reading->config.checkpoint << '\n';
    }
    return exit_code::ok;
}

exit_code run_show(const command_context& context)
{
    const auto& options = context.options;
    if (!has_valid_document(context)) {
        return exit_code::invalid;
    }
    if (!options.document.empty() && !options.data_centre.empty()) {
        return report_error(context, exit_code::invalid, "--document and --data-centre exclude each other");
    }
    auto code = exit_code::failed;
    const auto reading = read_config(context, recovery_start::latest, code);
    if (!reading) {
        return code;
    }
    const auto state = state_of(*reading, options.from);
    if (!state) {
        return report_error(context, exit_code::invalid, state.last_reason());
    }
    if (!options.data_centre.empty()) {
        return show_text(context, merge_document(*state, options.data_centre));
    }
    if (!options.document.empty()) {
        return show_text(context, content_of(*state, options.document));
    }
    return show_documents(context, *state);
}

exit_code run_diff(const command_context& context)
{
    const auto& options = context.options;
    auto words = options.words;
    const auto document = take_document_name(words);
    if (!document) {
        return report_error(context, exit_code::invalid, document.last_reason());
    }
    const auto versions = options.from || options.to;
    if (words.size() + (versions ? 1 : 0) != 1 || (options.to && !options.from)) {
        return report_error(context, exit_code::invalid,
                            "either one FILE or --from VERSION [--to VERSION] is needed");
    }
    auto code = exit_code::failed;
    const auto reading = read_config(context, recovery_start::latest, code);
    if (!reading) {
        return code;
    }
    const auto state = state_of(*reading, options.from);
    const auto from =
        state ? content_of(*state, *document) : result<json_document>{failure{state.last_reason()}};
    const auto to = compared_content(context, *reading, *document, words);
    if (!from || !to) {
        return report_error(context, exit_code::invalid, from ? to.last_reason() : from.last_reason());
    }
    return print_changes(context, *from, *to);
}

} // namespace kumquatdrift::internal
