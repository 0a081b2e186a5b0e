#include <ostream>
#include <utility>
#include <vector>

#include "commands.hpp"
#include "log_reading.hpp"
#include "table.hpp"

namespace kumquatdrift::internal {

namespace {

/*! @brief Result of the validation of one file. */
struct file_check {
    std::string file{};
    std::string error{};
    std::size_t services{};
    std::size_t routes{};
};

file_check check_base(const std::string& file, const result<json_document>& base)
{
    const auto config = base ? validate_config(*base) : result<effective_config>{failure{base.last_reason()}};
    return config ? file_check{file, {}, config->services.size(), config->routes.size()}
                  : file_check{file, base ? file + ": " + config.last_reason() : config.last_reason()};
}

file_check check_overlay(const command_context& context, const std::string& file, const json_document& base)
{
    const auto overlay = read_document(context, file);
    if (!overlay) {
        return {file, overlay.last_reason()};
    }
    const auto overlay_check = validate_overlay(*overlay);
    if (!overlay_check) {
        return {file, file + ": " + overlay_check.last_reason()};
    }
    const auto merged = validate_config(merge_patch(base, *overlay));
    return merged ? file_check{file, {}, merged->services.size(), merged->routes.size()}
                  : file_check{file, file + " merged with the base: " + merged.last_reason()};
}

table make_table(const std::vector<file_check>& checks)
{
    table results{{"file", "valid", "services", "routes", "error"}, {}};
    for (const auto& check : checks) {
        const auto valid = check.error.empty();
        results.rows.push_back({check.file, valid, check.services, check.routes,
                                valid ? Poco::Dynamic::Var{} : Poco::Dynamic::Var{check.error}});
    }
    return results;
}

} // namespace

exit_code run_validate(const command_context& context)
{
    const auto& files = context.options.operands;
    const auto base = read_document(context, files[0]);
    std::vector<file_check> checks{check_base(files[0], base)};
    if (checks[0].error.empty()) {
        for (std::size_t index = 1; index < files.size(); ++index) {
            checks.push_back(check_overlay(context, files[index], *base));
        }
    }
    if (context.options.json) {
        print_json(to_json(make_table(checks)), context.out);
    }
    auto code = exit_code::ok;
    for (const auto& check : checks) {
        if (!check.error.empty()) {
            code = report_error(context, exit_code::invalid, check.error);
        }
        else if (!context.options.json) {
            context.out << check.file << ": valid, " << check.services << " services, " << check.routes
                        << " routes\n";
        }
    }
    return code;
}

} // namespace kumquatdrift::internal
