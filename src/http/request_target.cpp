#include <kumquatdrift/http/request_target.hpp>

#include <kumquatdrift/http/message.hpp>

namespace kumquatdrift {
namespace {

constexpr std::string_view scheme = "http://";

} // namespace

request_target_parts split_request_target(std::string_view target) noexcept
{
    if (target.size() <= scheme.size() || !equals_ignore_case(target.substr(0, scheme.size()), scheme)) {
        return {{}, target};
    }
    target.remove_prefix(scheme.size());
    const auto end = target.find_first_of("/?");
    if (end == std::string_view::npos) {
        return {target, "/"};
    }
    // A query without a path belongs to the root, which has no route.
    return {target.substr(0, end), target.substr(end)};
}

} // namespace kumquatdrift
