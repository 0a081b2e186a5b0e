#include <kumquatdrift/routing/choose.hpp>

#include <algorithm>
#include <vector>

namespace kumquatdrift {
namespace {

// A report loses its weight within this time. A target that reported itself full is then tried again even
// if no answer corrected the report.
constexpr microseconds report_lifetime{2'000'000};

// Share of load that a new target gets at first. Above zero, because a target that gets nothing never warms.
constexpr double least_share = 0.1;

constexpr milliseconds retry_without_endpoint{1'000};

double report_weight(const endpoint_load& load, timestamp now) noexcept
{
    if (!load.reported_at || now - *load.reported_at >= report_lifetime) {
        return 0.0;
    }
    const std::chrono::duration<double> age = std::max(now - *load.reported_at, microseconds{0});
    return 1.0 - age / std::chrono::duration<double>{report_lifetime};
}

// Own requests are counted exactly; the report only stands for those of other nodes.
double requests_at(const endpoint_load& load, timestamp now) noexcept
{
    const auto reported = static_cast<double>(load.reported.in_use) + load.reported.queued;
    const auto others = std::max(0.0, reported - load.own_at_report);
    return load.own_in_flight + others * report_weight(load, now);
}

double share(const routed_service& service, const endpoint& candidate, const endpoint_load* load,
             timestamp now) noexcept
{
    const microseconds slow_start{service.config.slow_start};
    if (slow_start.count() <= 0) {
        return 1.0;
    }
    if (load == nullptr) {
        return candidate.state == target_state::cold ? least_share : 1.0;
    }
    if (!load->first_seen) {
        return 1.0;
    }
    const std::chrono::duration<double> age = now - *load->first_seen;
    return std::clamp(age / std::chrono::duration<double>{slow_start}, least_share, 1.0);
}

struct candidate_load {
    std::size_t index{};
    double load{};
    bool is_full{};
};

class chooser {
public:
    chooser(const routed_service& routed, const load_table& table, std::span<const std::string> used,
            timestamp time, random_engine& engine)
        : service{routed}, loads{table}, excluded{used}, now{time}, rng{engine}
    {
    }

    [[nodiscard]] std::optional<std::size_t> choose()
    {
        for (const auto skip_ejected : {true, false}) {
            if (const auto chosen = this->choose_among(skip_ejected)) {
                return chosen->index;
            }
        }
        return std::nullopt;
    }

private:
    [[nodiscard]] std::optional<candidate_load> choose_among(bool skip_ejected)
    {
        const auto local = this->choose_in(true, skip_ejected);
        if ((local && !local->is_full) || !this->service.config.spill_over) {
            return local;
        }
        const auto remote = this->choose_in(false, skip_ejected);
        if (!local || (remote && !remote->is_full)) {
            return remote;
        }
        return local;
    }

    [[nodiscard]] std::optional<candidate_load> choose_in(bool local, bool skip_ejected)
    {
        this->collect(local, skip_ejected);
        if (this->usable.empty()) {
            return std::nullopt;
        }
        const auto better = this->better_of_two();
        if (!better.is_full) {
            return better;
        }
        return this->least_loaded();
    }

    void collect(bool local, bool skip_ejected)
    {
        this->usable.clear();
        for (std::size_t index = 0; index < this->service.endpoints.size(); ++index) {
            const auto& candidate = this->service.endpoints[index];
            if (candidate.local != local || this->is_excluded(candidate)) {
                continue;
            }
            if (skip_ejected && this->loads.is_ejected(candidate, this->now)) {
                continue;
            }
            this->usable.push_back(index);
        }
    }

    [[nodiscard]] candidate_load better_of_two()
    {
        const auto draw = [this](std::size_t count) {
            return std::uniform_int_distribution<std::size_t>{0, count - 1}(this->rng);
        };
        const auto first = draw(this->usable.size());
        if (this->usable.size() == 1) {
            return this->evaluate(this->usable[first]);
        }
        auto second = draw(this->usable.size() - 1);
        second += second >= first ? 1 : 0;
        const auto one = this->evaluate(this->usable[first]);
        const auto other = this->evaluate(this->usable[second]);
        return other.load < one.load ? other : one;
    }

    [[nodiscard]] candidate_load least_loaded() const
    {
        auto best = this->evaluate(this->usable.front());
        for (const auto index : this->usable) {
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
        const auto requests = load == nullptr ? 0.0 : requests_at(*load, this->now);
        const auto is_reported = load != nullptr && report_weight(*load, this->now) > 0.0;
        const auto slots = is_reported ? load->reported.slots : candidate.slots;
        const auto usable_slots = slots * share(this->service, candidate, load, this->now);
        return {.index = index,
                .load = (requests + 1.0) / usable_slots,
                .is_full = requests >= std::max(usable_slots, 1.0)};
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
    std::vector<std::size_t> usable{};
};

} // namespace

endpoint_choice choose_endpoint(const routed_service& service, const load_table& loads,
                                std::span<const std::string> excluded, timestamp now, random_engine& rng)
{
    const auto chosen = chooser{service, loads, excluded, now, rng}.choose();
    if (!chosen) {
        return {.endpoint = std::nullopt, .retry_after = retry_without_endpoint};
    }
    return {.endpoint = chosen, .retry_after = milliseconds{0}};
}

} // namespace kumquatdrift
