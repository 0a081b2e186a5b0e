#include "waiting.hpp"

namespace kumquatdrift::internal {

namespace {

/*! @brief Pause between two requests to the node. Its own table changes with gossip, not faster. */
constexpr milliseconds poll_pause{100};

void look(const ctl_ports& ports, const std::string& node, config_version version, wait_report& report)
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
    report.not_waited_for = status->members.size() - report.live;
    report.reached = report.live > 0 && report.behind.empty();
}

} // namespace

wait_report wait_for_version(const ctl_ports& ports, const std::string& node, config_version version,
                             milliseconds timeout)
{
    const auto start = ports.now();
    wait_report report;
    for (;;) {
        look(ports, node, version, report);
        report.elapsed = ports.now() - start;
        if (report.reached || report.elapsed >= timeout) {
            return report;
        }
        ports.sleep(poll_pause);
    }
}

} // namespace kumquatdrift::internal
