#include "node/node_metrics.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

namespace kumquatdrift::internal {

namespace {

double count_members(const member_view& view, member_status status)
{
    return static_cast<double>(
        std::count_if(view.members.begin(), view.members.end(),
                      [status](const auto& entry) { return entry.second.status == status; }));
}

void add_membership_metrics(metrics_registry& registry, const membership_service& membership)
{
    registry.add_gauge_callback("kumquatdrift_members_alive", "Members that answer probes.", [&membership] {
        return count_members(*membership.view(), member_status::alive);
    });
    registry.add_gauge_callback(
        "kumquatdrift_members_unreachable", "Members in data centres from which nothing is heard.",
        [&membership] { return count_members(*membership.view(), member_status::unreachable); });
    registry.add_gauge_callback(
        "kumquatdrift_member_sent_bytes", "Bytes sent by the membership since the start.", [&membership] {
            const auto counters = membership.counters();
            return static_cast<double>(counters.probes_sent.bytes + counters.pushes_sent.bytes +
                                       counters.exchanges_sent.bytes);
        });
    registry.add_gauge_callback("kumquatdrift_member_received_bytes",
                                "Bytes received by the membership since the start.", [&membership] {
                                    const auto counters = membership.counters();
                                    return static_cast<double>(counters.datagrams_received.bytes +
                                                               counters.exchanges_received.bytes);
                                });
    registry.add_gauge_callback("kumquatdrift_member_dropped_messages",
                                "Membership messages or records dropped as invalid.", [&membership] {
                                    const auto counters = membership.counters();
                                    return static_cast<double>(counters.oversized + counters.undecodable +
                                                               counters.wrong_format + counters.invalid +
                                                               counters.forged);
                                });
}

void add_distribution_metrics(metrics_registry& registry, const distribution_service& distribution)
{
    const auto add = [&](std::string_view name, std::string_view help, auto read) {
        registry.add_gauge_callback(
            name, help, [&distribution, read] { return static_cast<double>(read(distribution.status())); });
    };
    add("kumquatdrift_config_log_bytes", "Bytes of payloads read from the configuration log since the start.",
        [](const auto& status) { return status.log_bytes; });
    add("kumquatdrift_config_received_bytes", "Bytes of configuration received from parents since the start.",
        [](const auto& status) { return status.received_bytes; });
    add("kumquatdrift_config_sent_bytes", "Bytes of configuration sent to children since the start.",
        [](const auto& status) { return status.sent_bytes; });
    add("kumquatdrift_config_children", "Streams that this node serves as a relay.",
        [](const auto& status) { return status.children; });
    add("kumquatdrift_config_age_ms", "Milliseconds since the configuration was known to be current.",
        [](const auto& status) { return status.age.count(); });
    add("kumquatdrift_config_redirected", "Streams redirected because of a limit since the start.",
        [](const auto& status) { return status.redirected; });
    add("kumquatdrift_config_checkpoints", "Checkpoints written since the start.",
        [](const auto& status) { return status.checkpoints; });
}

} // namespace

void add_control_plane_metrics(metrics_registry& registry, const membership_service& membership,
                               const distribution_service& distribution, const claim_service& claims,
                               std::function<config_version()> in_force)
{
    registry.add_gauge_callback("kumquatdrift_config_version", "Configuration version in force, 0 for none.",
                                [version = std::move(in_force)] { return static_cast<double>(version()); });
    add_membership_metrics(registry, membership);
    add_distribution_metrics(registry, distribution);
    registry.add_gauge_callback("kumquatdrift_claim_partitions", "Claim partitions that this node holds.",
                                [&claims] { return static_cast<double>(claims.status().partitions); });
    registry.add_gauge_callback("kumquatdrift_claim_remote_calls",
                                "Claim calls sent to other nodes since the start.",
                                [&claims] { return static_cast<double>(claims.status().remote_calls); });
}

} // namespace kumquatdrift::internal
