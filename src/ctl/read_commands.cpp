#include <ostream>
#include <utility>

#include <kumquatdrift/config/changes.hpp>

#include "commands.hpp"
#include "log_reading.hpp"
#include "table.hpp"

namespace kumquatdrift::internal {

namespace {

using cell = Poco::Dynamic::Var;

cell make_cell(const std::string& text)
{
    return text.empty() ? cell{} : cell{text};
}

cell make_cell(const std::optional<std::string>& text)
{
    return text ? cell{*text} : cell{};
}

void print_table(const command_context& context, const table& content)
{
    if (context.options.json) {
        print_json(to_json(content), context.out);
    }
    else {
        print_text(content, context.out);
    }
}

/*! @brief Checks the name in `--document`, which may be empty. Prints an error if it is invalid. */
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

/*! @brief Returns the state at a version, or the current state if no version is given. */
result<config_state> state_at_or_current(const config_from_log& loaded, std::optional<std::uint64_t> version)
{
    if (version) {
        return state_at(loaded.batch, *version);
    }
    return loaded.config.state;
}

exit_code show_documents(const command_context& context, const config_state& state)
{
    table documents{{"document", "version", "author", "edit_id", "bytes"}, {}};
    for (const auto& [name, document] : state.documents) {
        documents.rows.push_back({name, document.offset + 1, make_cell(document.author),
                                  make_cell(document.edit_id), document.content.text().size()});
    }
    print_table(context, documents);
    return exit_code::ok;
}

exit_code show_content(const command_context& context, const result<json_document>& document)
{
    if (!document) {
        return report_error(context, exit_code::failed, document.last_reason());
    }
    context.out << document->pretty() << '\n';
    return exit_code::ok;
}

result<json_document> find_content(const config_state& state, const std::string& document)
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
    table changes{{"place", "before", "after"}, {}};
    for (const auto& change : list_changes(from, to)) {
        changes.rows.push_back({change.pointer, make_cell(change.before), make_cell(change.after)});
    }
    if (changes.rows.empty() && !context.options.json) {
        context.out << "no difference\n";
        return exit_code::ok;
    }
    print_table(context, changes);
    return exit_code::ok;
}

/*! @brief Returns the content to compare with, from a file or from a version of the document. */
result<json_document> load_comparison(const command_context& context, const config_from_log& loaded,
                                      const std::string& document, const std::vector<std::string>& files)
{
    if (!files.empty()) {
        return read_document(context, files[0]);
    }
    const auto state = state_at_or_current(loaded, context.options.to);
    return state ? find_content(*state, document) : result<json_document>{failure{state.last_reason()}};
}

} // namespace

exit_code run_history(const command_context& context)
{
    if (!has_valid_document(context)) {
        return exit_code::invalid;
    }
    auto code = exit_code::failed;
    const auto loaded = load_config(context, recovery_start::earliest, code);
    if (!loaded) {
        return code;
    }
    const auto& options = context.options;
    table history{{"offset", "outcome", "document", "parent", "author", "edit_id", "reason"}, {}};
    for (const auto& outcome : loaded->config.outcomes) {
        if (!options.document.empty() && outcome.document != options.document) {
            continue;
        }
        history.rows.push_back({outcome.offset, std::string{to_name(outcome.kind)},
                                make_cell(outcome.document), outcome.parent ? cell{*outcome.parent} : cell{},
                                make_cell(outcome.author), make_cell(outcome.edit_id),
                                make_cell(outcome.reason)});
    }
    if (options.limit > 0 && history.rows.size() > options.limit) {
        history.rows.erase(history.rows.begin(),
                           history.rows.end() - static_cast<std::ptrdiff_t>(options.limit));
    }
    print_table(context, history);
    if (loaded->config.checkpoint) {
        context.err << "kumquatdriftctl: older records have expired; the history starts from the checkpoint "
                       "at offset "
                    << *loaded->config.checkpoint << '\n';
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
    const auto loaded = load_config(context, recovery_start::latest, code);
    if (!loaded) {
        return code;
    }
    const auto state = state_at_or_current(*loaded, options.from);
    if (!state) {
        return report_error(context, exit_code::invalid, state.last_reason());
    }
    if (!options.data_centre.empty()) {
        return show_content(context, merge_document(*state, options.data_centre));
    }
    if (!options.document.empty()) {
        return show_content(context, find_content(*state, options.document));
    }
    return show_documents(context, *state);
}

exit_code run_diff(const command_context& context)
{
    const auto& options = context.options;
    auto operands = options.operands;
    const auto document = consume_document_name(operands);
    if (!document) {
        return report_error(context, exit_code::invalid, document.last_reason());
    }
    const auto versions = options.from || options.to;
    if (operands.size() + (versions ? 1 : 0) != 1 || (options.to && !options.from)) {
        return report_error(context, exit_code::invalid,
                            "either one FILE or --from VERSION [--to VERSION] is needed");
    }
    auto code = exit_code::failed;
    const auto loaded = load_config(context, recovery_start::latest, code);
    if (!loaded) {
        return code;
    }
    const auto state = state_at_or_current(*loaded, options.from);
    const auto from =
        state ? find_content(*state, *document) : result<json_document>{failure{state.last_reason()}};
    const auto to = load_comparison(context, *loaded, *document, operands);
    if (!from || !to) {
        return report_error(context, exit_code::invalid, from ? to.last_reason() : from.last_reason());
    }
    return print_changes(context, *from, *to);
}

} // namespace kumquatdrift::internal
