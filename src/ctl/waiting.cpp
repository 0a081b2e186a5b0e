#include "waiting.hpp"

namespace kumquatdrift::internal {

namespace {

/*! @brief Interval between status requests. The view of the node changes no faster than gossip arrives. */
constexpr milliseconds poll_interval{100};

void poll_status(const ctl_ports& ports, const std::string& node, config_version version, wait_report& report)
{
    const auto body = ports.fetch_status(node);
    const auto status = body ? decode_status(*body) : result<node_status>{failure{body.last_reason()}};
    report.reason = status.last_reason();
    if (!status) {
        return;
    }
    report.live = 0;
    report.behind.clear();
    for (const auto& member : status->members) {
        if (!is_live(member)) {
            continue;
        }
        ++report.live;
        if (member.version < version) {
            report.behind.push_back(member.node);
        }
    }
    report.not_live = status->members.size() - report.live;
    report.reached = report.live > 0 && report.behind.empty();
}

} // namespace

wait_report wait_for_version(const ctl_ports& ports, const std::string& node, config_version version,
                             milliseconds timeout)
{
    const auto start = ports.now();
    wait_report report;
    for (;;) {
        poll_status(ports, node, version, report);
        report.elapsed = ports.now() - start;
        if (report.reached || report.elapsed >= timeout) {
            return report;
        }
        ports.sleep(poll_interval);
    }
}

} // namespace kumquatdrift::internal
