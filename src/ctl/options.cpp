#include "options.hpp"

#include <algorithm>
#include <memory>
#include <ostream>
#include <utility>

#include <tclap/CmdLine.h>

namespace kumquatdrift::internal {

namespace {

using text_option = TCLAP::ValueArg<std::string>;
using number_option = TCLAP::ValueArg<std::uint64_t>;
using switch_option = TCLAP::SwitchArg;

constexpr std::uint64_t default_wait_seconds = 30;
constexpr std::uint64_t default_limit = 50;

/*! @brief TCLAP output handler that prints the help of a command to a stream. */
class command_help : public TCLAP::CmdLineOutput {
public:
    command_help(const command_spec& command, std::ostream& stream) : spec{command}, out{stream} {}

    void usage(TCLAP::CmdLineInterface& line) override
    {
        this->out << "usage: kumquatdriftctl " << this->spec.name << ' ' << this->spec.operands
                  << (this->spec.operands.empty() ? "" : " ") << "[OPTION...]\n\n"
                  << this->spec.summary << "\n\noptions:\n";
        for (auto* const argument : line.getArgList()) {
            if (argument->isRequired() || argument->getName() == "words" ||
                argument->getName() == "version" || argument->getName() == "ignore_rest") {
                continue;
            }
            this->out << "  " << argument->longID() << "\n      " << argument->getDescription() << '\n';
        }
    }

    void version(TCLAP::CmdLineInterface&) override {}

    void failure(TCLAP::CmdLineInterface&, TCLAP::ArgException&) override {}

private:
    const command_spec& spec;
    std::ostream& out;
};

/*! @brief TCLAP arguments of a command. Options that the command does not accept are null. */
struct option_set {
    std::unique_ptr<TCLAP::UnlabeledMultiArg<std::string>> operands{};
    std::unique_ptr<switch_option> json{};
    std::unique_ptr<text_option> log{};
    std::unique_ptr<text_option> node{};
    std::unique_ptr<text_option> author{};
    std::unique_ptr<switch_option> wait{};
    std::unique_ptr<number_option> wait_timeout{};
    std::unique_ptr<number_option> from{};
    std::unique_ptr<number_option> to{};
    std::unique_ptr<text_option> document{};
    std::unique_ptr<text_option> data_centre{};
    std::unique_ptr<number_option> at{};
    std::unique_ptr<number_option> limit{};
    std::unique_ptr<switch_option> all{};
};

std::unique_ptr<text_option> make_text(TCLAP::CmdLine& line, const char* name, const char* value,
                                       const char* description)
{
    return std::make_unique<text_option>("", name, description, false, "", value, line);
}

std::unique_ptr<number_option> make_number(TCLAP::CmdLine& line, const char* name,
                                           std::uint64_t default_value, const char* description)
{
    return std::make_unique<number_option>("", name, description, false, default_value, "N", line);
}

std::unique_ptr<switch_option> make_switch(TCLAP::CmdLine& line, const char* name, const char* description)
{
    return std::make_unique<switch_option>("", name, description, line, false);
}

void add_group(option_group group, TCLAP::CmdLine& line, option_set& set)
{
    switch (group) {
    case option_group::json:
        set.json = make_switch(line, "json", "Print JSON instead of text.");
        return;
    case option_group::log:
        set.log =
            make_text(line, "log", "URL", "Address of the log, http://IP:PORT. Default: $KUMQUATDRIFT_LOG.");
        return;
    case option_group::node:
        set.node = make_text(line, "node", "URL",
                             "Admin address of any node, http://IP:PORT. Default: $KUMQUATDRIFT_NODE. "
                             "trace-config also accepts the name of a node; the address then comes from the "
                             "environment.");
        return;
    case option_group::edit:
        set.author =
            make_text(line, "author", "NAME", "Author of the edit, up to 128 bytes. Default: $USER.");
        set.wait =
            make_switch(line, "wait", "Wait until all live nodes have the version in force. Needs --node.");
        set.wait_timeout =
            make_number(line, "wait-timeout-s", default_wait_seconds, "Longest time for --wait in seconds.");
        return;
    case option_group::versions:
        set.from = make_number(line, "from", 0, "Version to compare from.");
        set.to = make_number(line, "to", 0, "Version to compare with. Default: the current one.");
        return;
    case option_group::document:
        set.document = make_text(line, "document", "NAME", "Document: base or overlay/DATA_CENTRE.");
        return;
    case option_group::selection:
        set.data_centre =
            make_text(line, "data-centre", "NAME", "Print the merged configuration of a data centre.");
        set.at = make_number(line, "at", 0, "Version to show. Default: the current one.");
        return;
    case option_group::limit:
        set.limit =
            make_number(line, "limit", default_limit, "Number of most recent records to print, 0 for all.");
        return;
    case option_group::all:
        set.all = make_switch(line, "all", "Print members that are dead or unreachable, too.");
        return;
    }
}

std::string value_or_environment(const std::unique_ptr<text_option>& option, const ctl_ports& ports,
                                 const char* variable)
{
    if (!option) {
        return {};
    }
    return option->isSet() ? option->getValue() : ports.environment(variable).value_or("");
}

std::optional<std::uint64_t> number_if_set(const std::unique_ptr<number_option>& option)
{
    return option && option->isSet() ? std::optional{option->getValue()} : std::nullopt;
}

bool is_enabled(const std::unique_ptr<switch_option>& option)
{
    return option && option->getValue();
}

ctl_options collect_options(option_set& set, const ctl_ports& ports)
{
    ctl_options options;
    options.operands = set.operands->getValue();
    options.log = value_or_environment(set.log, ports, "KUMQUATDRIFT_LOG");
    options.node = value_or_environment(set.node, ports, "KUMQUATDRIFT_NODE");
    options.author = value_or_environment(set.author, ports, "USER");
    options.data_centre = set.data_centre ? set.data_centre->getValue() : "";
    options.document = set.document ? set.document->getValue() : "";
    options.from = set.at ? number_if_set(set.at) : number_if_set(set.from);
    options.to = number_if_set(set.to);
    options.limit = set.limit ? set.limit->getValue() : 0;
    options.json = is_enabled(set.json);
    options.wait = is_enabled(set.wait);
    options.all = is_enabled(set.all);
    options.wait_timeout = std::chrono::seconds{set.wait_timeout ? set.wait_timeout->getValue() : 0};
    return options;
}

exit_code usage_error(const command_spec& spec, const command_context& context, const std::string& reason)
{
    const std::string command = "kumquatdriftctl " + std::string{spec.name};
    const auto operands = spec.operands.empty() ? std::string{} : " " + std::string{spec.operands};
    return report_error(context, exit_code::invalid,
                        reason + "; usage: " + command + operands + " [OPTION...], see " + command +
                            " --help");
}

} // namespace

std::string_view describe_options(option_group group) noexcept
{
    switch (group) {
    case option_group::json:
        return "[--json]";
    case option_group::log:
        return "[--log URL]";
    case option_group::node:
        return "[--node URL]";
    case option_group::edit:
        return "[--author NAME] [--wait] [--wait-timeout-s N]";
    case option_group::versions:
        return "[--from VERSION] [--to VERSION]";
    case option_group::document:
        return "[--document NAME]";
    case option_group::selection:
        return "[--data-centre NAME] [--at VERSION]";
    case option_group::limit:
        return "[--limit N]";
    case option_group::all:
        return "[--all]";
    }
    return {};
}

std::optional<exit_code> parse_options(const command_spec& spec, const std::vector<std::string>& arguments,
                                       command_context& context)
{
    command_help help{spec, context.out};
    TCLAP::CmdLine line{std::string{spec.summary}, ' ', "0.1.0"};
    line.setOutput(&help);
    line.setExceptionHandling(false);
    option_set set;
    set.operands =
        std::make_unique<TCLAP::UnlabeledMultiArg<std::string>>("words", "Words.", false, "WORD", line);
    for (const auto group : spec.groups) {
        add_group(group, line, set);
    }
    std::vector<std::string> command_line{"kumquatdriftctl"};
    command_line.insert(command_line.end(), arguments.begin(), arguments.end());
    try {
        line.parse(command_line);
    }
    catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus() == 0 ? exit_code::ok : exit_code::invalid;
    }
    catch (const TCLAP::ArgException& error) {
        return usage_error(spec, context, error.error() + ' ' + error.argId());
    }
    context.options = collect_options(set, context.ports);
    // TCLAP parses an unknown option as an operand.
    const auto& operands = context.options.operands;
    const auto unknown = std::find_if(operands.begin(), operands.end(), [](const auto& operand) {
        return operand.size() > 1 && operand[0] == '-';
    });
    if (unknown != operands.end()) {
        return usage_error(spec, context, "unknown option " + *unknown);
    }
    const auto count = operands.size();
    if (count < spec.min_operands || count > spec.max_operands) {
        return usage_error(spec, context, "wrong number of words");
    }
    return std::nullopt;
}

exit_code report_error(const command_context& context, exit_code code, std::string_view reason)
{
    context.err << "kumquatdriftctl: " << reason << '\n';
    return code;
}

} // namespace kumquatdrift::internal
