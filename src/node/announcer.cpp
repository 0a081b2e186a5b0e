#include "node/announcer.hpp"

#include <string>
#include <utility>

#include <kumquatdrift/telemetry/log.hpp>

namespace kumquatdrift::internal {

namespace {

constexpr milliseconds expiry_interval{250};

const part_logger& logger()
{
    static const part_logger instance{log_part::node};
    return instance;
}

} // namespace

announcer::announcer(change_callback callback)
    : on_change{std::move(callback)}, expiry_task{expiry_interval, [this] { this->remove_expired(); }}
{
}

result<bool> announcer::announce(target_record target, milliseconds ttl)
{
    const auto description = "target " + target.id + " of service " + target.service + " announced " +
                             std::string{to_name(target.state)};
    const std::lock_guard lock{this->mutex};
    auto changed = kumquatdrift::announce(this->table, std::move(target), ttl, steady_now());
    if (changed && *changed) {
        logger().write(log_level::info, description);
        this->on_change(targets_of(this->table));
    }
    return changed;
}

void announcer::remove_expired()
{
    const std::lock_guard lock{this->mutex};
    const auto expired = remove_expired_announcements(this->table, steady_now());
    for (const auto& id : expired) {
        logger().write(log_level::warn, "announcement of target " + id + " expired; target removed");
    }
    if (!expired.empty()) {
        this->on_change(targets_of(this->table));
    }
}

} // namespace kumquatdrift::internal
