#include <kumquatdrift/routing/choose.hpp>

#include <algorithm>
#include <vector>

namespace kumquatdrift {
namespace {

// The weight of a report decays linearly to zero over this time, so that a target that reported itself full
// is chosen again even if no later response replaces the report.
constexpr microseconds report_lifetime{2'000'000};

// Initial fraction of the slots of a new target. Above zero, because a target without requests would never
// warm up.
constexpr double min_slow_start_share = 0.1;

constexpr milliseconds retry_after_without_endpoint{1'000};

double report_weight(const endpoint_load& load, timestamp now) noexcept
{
    if (!load.reported_at || now - *load.reported_at >= report_lifetime) {
        return 0.0;
    }
    const std::chrono::duration<double> age = std::max(now - *load.reported_at, microseconds{0});
    return 1.0 - age / std::chrono::duration<double>{report_lifetime};
}

// Requests of this node are counted exactly; those of other nodes are estimated from the report.
double estimated_requests(const endpoint_load& load, timestamp now) noexcept
{
    const auto reported = static_cast<double>(load.reported.in_use) + load.reported.queued;
    const auto others = std::max(0.0, reported - load.own_at_report);
    return load.own_in_flight + others * report_weight(load, now);
}

double slow_start_share(const routed_service& service, const endpoint& candidate, const endpoint_load* load,
                        timestamp now) noexcept
{
    const microseconds slow_start{service.config.slow_start};
    if (slow_start.count() <= 0) {
        return 1.0;
    }
    if (load == nullptr) {
        return candidate.state == target_state::cold ? min_slow_start_share : 1.0;
    }
    if (!load->first_seen) {
        return 1.0;
    }
    const std::chrono::duration<double> age = now - *load->first_seen;
    return std::clamp(age / std::chrono::duration<double>{slow_start}, min_slow_start_share, 1.0);
}

struct candidate_load {
    std::size_t index{};
    double load{};
    bool is_full{};
};

class endpoint_selector {
public:
    endpoint_selector(const routed_service& routed, const load_table& table,
                      std::span<const std::string> excluded_keys, timestamp time, random_engine& engine)
        : service{routed}, loads{table}, excluded{excluded_keys}, now{time}, rng{engine}
    {
    }

    [[nodiscard]] std::optional<std::size_t> choose()
    {
        for (const auto skip_ejected : {true, false}) {
            if (const auto chosen = this->choose_preferring_local(skip_ejected)) {
                return chosen->index;
            }
        }
        return std::nullopt;
    }

private:
    [[nodiscard]] std::optional<candidate_load> choose_preferring_local(bool skip_ejected)
    {
        const auto local = this->choose_from(true, skip_ejected);
        if ((local && !local->is_full) || !this->service.config.spill_over) {
            return local;
        }
        const auto remote = this->choose_from(false, skip_ejected);
        if (!local || (remote && !remote->is_full)) {
            return remote;
        }
        return local;
    }

    [[nodiscard]] std::optional<candidate_load> choose_from(bool local, bool skip_ejected)
    {
        this->collect(local, skip_ejected);
        if (this->candidates.empty()) {
            return std::nullopt;
        }
        const auto preferred = this->less_loaded_of_two();
        if (!preferred.is_full) {
            return preferred;
        }
        return this->least_loaded();
    }

    void collect(bool local, bool skip_ejected)
    {
        this->candidates.clear();
        for (std::size_t index = 0; index < this->service.endpoints.size(); ++index) {
            const auto& candidate = this->service.endpoints[index];
            if (candidate.local != local || this->is_excluded(candidate)) {
                continue;
            }
            if (skip_ejected && this->loads.is_ejected(candidate, this->now)) {
                continue;
            }
            this->candidates.push_back(index);
        }
    }

    [[nodiscard]] candidate_load less_loaded_of_two()
    {
        const auto draw = [this](std::size_t count) {
            return std::uniform_int_distribution<std::size_t>{0, count - 1}(this->rng);
        };
        const auto first = draw(this->candidates.size());
        if (this->candidates.size() == 1) {
            return this->evaluate(this->candidates[first]);
        }
        auto second = draw(this->candidates.size() - 1);
        second += second >= first ? 1 : 0;
        const auto one = this->evaluate(this->candidates[first]);
        const auto other = this->evaluate(this->candidates[second]);
        return other.load < one.load ? other : one;
    }

    [[nodiscard]] candidate_load least_loaded() const
    {
        auto best = this->evaluate(this->candidates.front());
        for (const auto index : this->candidates) {
            const auto candidate = this->evaluate(index);
            if (candidate.load < best.load) {
                best = candidate;
            }
        }
        return best;
    }

    [[nodiscard]] candidate_load evaluate(std::size_t index) const
    {
        const auto& candidate = this->service.endpoints[index];
        const auto* load = this->loads.find(candidate.key);
        const auto requests = load == nullptr ? 0.0 : estimated_requests(*load, this->now);
        const auto is_reported = load != nullptr && report_weight(*load, this->now) > 0.0;
        const auto slots = is_reported ? load->reported.slots : candidate.slots;
        const auto effective_slots = slots * slow_start_share(this->service, candidate, load, this->now);
        return {.index = index,
                .load = (requests + 1.0) / effective_slots,
                .is_full = requests >= std::max(effective_slots, 1.0)};
    }

    [[nodiscard]] bool is_excluded(const endpoint& candidate) const
    {
        return std::find(this->excluded.begin(), this->excluded.end(), candidate.key) != this->excluded.end();
    }

    const routed_service& service;
    const load_table& loads;
    std::span<const std::string> excluded;
    timestamp now;
    random_engine& rng;
    std::vector<std::size_t> candidates{};
};

} // namespace

endpoint_choice choose_endpoint(const routed_service& service, const load_table& loads,
                                std::span<const std::string> excluded, timestamp now, random_engine& rng)
{
    const auto chosen = endpoint_selector{service, loads, excluded, now, rng}.choose();
    if (!chosen) {
        return {.endpoint = std::nullopt, .retry_after = retry_after_without_endpoint};
    }
    return {.endpoint = chosen, .retry_after = milliseconds{0}};
}

} // namespace kumquatdrift
