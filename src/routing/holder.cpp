#include <kumquatdrift/routing/holder.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace kumquatdrift {
namespace {

// Limits the memory used by a burst of edits. Beyond this number, a new version replaces the newest pending
// one and keeps its deadline.
constexpr std::size_t max_pending_versions = 8;

// Checks whether a configuration defines only services of the configuration in force. The member view already
// covers the targets of these.
bool has_no_new_service(const effective_config& config,
                        const std::shared_ptr<const effective_config>& in_force)
{
    return in_force &&
           std::all_of(config.services.begin(), config.services.end(), [&in_force](const auto& service) {
               return in_force->services.contains(service.first);
           });
}

} // namespace

snapshot_holder::snapshot_holder(microseconds max_pending_time) noexcept : max_wait{max_pending_time}
{
    assert(max_pending_time.count() >= 0);
}

routing_snapshot_ptr snapshot_holder::current() const noexcept
{
    return this->snapshot.load(std::memory_order_acquire);
}

bool snapshot_holder::offer_config(std::shared_ptr<const effective_config> config, timestamp now)
{
    assert(config);
    const auto in_force_version = this->in_force ? this->in_force->version : config_version{0};
    const auto newest = std::max(this->pending_version(), in_force_version);
    if (config->version <= newest) {
        this->reason = "the configuration version is not newer than the one held";
        return false;
    }
    const auto candidate_snapshot = build_snapshot(*config, this->view ? *this->view : member_view{});
    this->reason = candidate_snapshot.last_reason();
    if (!candidate_snapshot) {
        return false;
    }
    if (has_no_new_service(*config, this->in_force)) {
        this->pending.clear();
        return this->publish(config);
    }
    const auto synchronisations = this->view ? this->view->synchronisations : 0;
    if (this->pending.size() < max_pending_versions) {
        this->pending.push_back({std::move(config), synchronisations, now + this->max_wait});
    }
    else {
        this->pending.back().config = std::move(config);
        this->pending.back().synchronisations = synchronisations;
    }
    return this->publish_due(now, false);
}

bool snapshot_holder::offer_view(member_view_ptr new_view, timestamp now)
{
    assert(new_view);
    if (this->view && new_view->generation < this->view->generation) {
        return false;
    }
    const auto is_changed = !this->view || new_view->endpoint_generation != this->view->endpoint_generation;
    if (!is_changed && new_view->synchronisations <= this->view->synchronisations) {
        return false;
    }
    this->view = std::move(new_view);
    return this->publish_due(now, is_changed);
}

bool snapshot_holder::tick(timestamp now)
{
    return this->publish_due(now, false);
}

config_version snapshot_holder::pending_version() const noexcept
{
    return this->pending.empty() ? 0 : this->pending.back().config->version;
}

const std::string& snapshot_holder::last_reason() const noexcept
{
    return this->reason;
}

bool snapshot_holder::publish_due(timestamp now, bool view_changed)
{
    const auto synchronisations = this->view ? this->view->synchronisations : 0;
    const auto newest_due =
        std::find_if(this->pending.rbegin(), this->pending.rend(), [&](const pending_config& candidate) {
            return synchronisations > candidate.synchronisations || now >= candidate.deadline;
        });
    if (newest_due == this->pending.rend()) {
        return view_changed && this->in_force && this->publish(this->in_force);
    }
    const auto config = newest_due->config;
    this->pending.erase(this->pending.begin(), newest_due.base());
    return this->publish(config);
}

bool snapshot_holder::publish(const std::shared_ptr<const effective_config>& config)
{
    auto built = build_snapshot(*config, this->view ? *this->view : member_view{});
    if (!built) {
        this->reason = built.last_reason();
        return false;
    }
    this->in_force = config;
    this->snapshot.store(*built, std::memory_order_release);
    return true;
}

} // namespace kumquatdrift
