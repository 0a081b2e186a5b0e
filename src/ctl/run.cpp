#include <kumquatdrift/ctl/run.hpp>

#include <algorithm>
#include <array>
#include <ostream>

#include "commands.hpp"

namespace kumquatdrift {

namespace {

using namespace internal;

constexpr std::string_view help_header =
    R"(kumquatdriftctl edits and inspects the routing configuration of a kumquatdrift mesh.

The configuration consists of a base document and one overlay per data centre, an RFC 7396 merge patch on the
base. Every change is an edit in the log. It is valid only if the base alone and the merge with every overlay
are valid. The version is the offset of the last accepted edit plus one. Nothing but the log has to run for
publish, revert, history, show and diff.

usage: kumquatdriftctl COMMAND [WORD...] [OPTION...]

commands:
)";

constexpr std::string_view help_footer =
    R"(
DOCUMENT is the word base, or the word overlay and the name of a data centre. FILE is the path of a JSON document,
or - for standard input. VERSION and OFFSET are numbers as in the output of history; version N+1 comes from the
edit at offset N. URL is http://IP:PORT. --wait returns when all live nodes have the version in force and prints
how long that took; the default limit is 30 s. COMMAND --help describes the options of one command.

environment:
  KUMQUATDRIFT_LOG   address of the log, http://IP:PORT, unless --log is given
  KUMQUATDRIFT_NODE  admin address of any node, http://IP:PORT, unless --node is given
  USER               author of edits, unless --author is given

exit codes:
  0  done
  1  failed
  2  wrong usage or invalid document; nothing was changed
  3  another edit of the document was accepted first; nothing was changed
  4  the log cannot be read or written
  5  the edit was accepted, but --wait ran out of time

examples:
  kumquatdriftctl validate base.json alfama.json belem.json
  kumquatdriftctl publish base base.json --wait
  kumquatdriftctl publish overlay alfama alfama.json
  kumquatdriftctl diff base base.json
  kumquatdriftctl diff base --from 41 --to 44
  kumquatdriftctl history --document base
  kumquatdriftctl revert 40 --wait
  kumquatdriftctl show --data-centre alfama
  kumquatdriftctl status --json
  kumquatdriftctl trace-config --node alfama-3
)";

const std::vector<command_spec>& all_commands()
{
    using group = option_group;
    static const std::vector<command_spec> commands{
        {"validate",
         "BASE [OVERLAY...]",
         "Checks files without the log: the base alone, each overlay alone and merged with the base. Errors "
         "name the JSON place and what is accepted there.",
         {group::json},
         1,
         1000,
         run_validate},
        {"publish",
         "DOCUMENT FILE",
         "Publishes a file as the new content of a document. Publishes nothing if the content is the same. "
         "Fails with code 3 if someone else published the document in the meantime.",
         {group::json, group::log, group::node, group::edit},
         2,
         3,
         run_publish},
        {"revert",
         "OFFSET",
         "Publishes the content that the accepted edit at an offset gave to its document as a new version.",
         {group::json, group::log, group::node, group::edit},
         1,
         1,
         run_revert},
        {"history",
         "",
         "Prints the retained records with their outcomes, the most recent last.",
         {group::json, group::log, group::document, group::limit},
         0,
         0,
         run_history},
        {"show",
         "",
         "Prints a table of the documents; with --document the content of one, with --data-centre the merged "
         "configuration of a data centre.",
         {group::json, group::log, group::document, group::selection},
         0,
         0,
         run_show},
        {"diff",
         "DOCUMENT [FILE]",
         "Prints what changes from the published document to a file, or from one version to another.",
         {group::json, group::log, group::versions},
         1,
         3,
         run_diff},
        {"status",
         "",
         "Prints each live node with its data centre, its version in force, the age of its record and its "
         "targets, and a summary line. The view is that of the node that is asked.",
         {group::json, group::node, group::all},
         0,
         0,
         run_status},
        {"trace-config",
         "",
         "Explains which version a node has in force, which edits it consists of, and why it has no newer "
         "one. Compares with the log if its address is given.",
         {group::json, group::log, group::node},
         0,
         0,
         run_trace_config},
    };
    return commands;
}

void print_help(std::ostream& out)
{
    out << help_header;
    for (const auto& command : all_commands()) {
        out << "  " << command.name << (command.operands.empty() ? "" : " ") << command.operands;
        for (const auto group : command.groups) {
            out << ' ' << describe_options(group);
        }
        out << "\n      " << command.summary << '\n';
    }
    out << help_footer;
}

} // namespace

exit_code run_ctl(const std::vector<std::string>& arguments, const ctl_ports& ports, std::ostream& out,
                  std::ostream& err)
{
    command_context context{{}, ports, out, err};
    if (arguments.empty()) {
        return report_error(context, exit_code::invalid, "a command is missing; see kumquatdriftctl --help");
    }
    if (arguments[0] == "--help" || arguments[0] == "-h" || arguments[0] == "help") {
        print_help(out);
        return exit_code::ok;
    }
    if (arguments[0] == "--version") {
        out << "kumquatdriftctl 0.1.0\n";
        return exit_code::ok;
    }
    const auto& commands = all_commands();
    const auto found = std::find_if(commands.begin(), commands.end(),
                                    [&](const auto& command) { return command.name == arguments[0]; });
    if (found == commands.end()) {
        return report_error(context, exit_code::invalid,
                            "command \"" + arguments[0] + "\" is unknown; see kumquatdriftctl --help");
    }
    const auto early_exit = parse_options(*found, {arguments.begin() + 1, arguments.end()}, context);
    return early_exit ? *early_exit : found->run(context);
}

} // namespace kumquatdrift
