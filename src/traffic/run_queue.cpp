#include <kumquatdrift/traffic/run_queue.hpp>

#include <algorithm>
#include <cmath>
#include <iterator>

#include <kumquatdrift/traffic/service_times.hpp>

namespace kumquatdrift {
namespace {

/*! @brief Weight of the newest request in the means; follows a change within about 20 requests. */
constexpr double newest_weight = 0.1;

/*! @brief Time without a finished request in which half of the deviation of the slowness from 1 is forgotten.
 * A target that was slow gets few requests, so that its recovery would not be seen otherwise. */
constexpr microseconds slowness_half_life{1'000'000};

/*! @brief Bounds of the slowness observed for a single request, so that an outlier moves the mean by little.
 */
constexpr double min_slowness = 0.1;
constexpr double max_slowness = 10.0;

/*! @brief Time in which half of a stated slowness is forgotten in favour of its mean. The disturbances of a
 * host last for parts of a second. */
constexpr microseconds stated_half_life{500'000};

/*! @brief Bounds of a stated slowness relative to its mean, so that odd figures move no more than that. */
constexpr double min_stated_ratio = 0.25;
constexpr double max_stated_ratio = 4.0;

/*! @brief Multiple of the expected service time that has to fit before the time given by `useful_until`.
 * Service times have a long tail: at overload a smaller multiple fills the queue with requests that end late,
 * a larger one refuses requests that would have been in time. */
constexpr double required_service_part = 1.5;

/*! @brief Shortest time before the time given by `useful_until` at which a request has to start under a rate
 *         limit. Starts are checked in intervals, so that a short request would otherwise be overtaken by its
 *         deadline, which leaves open whether it has run. */
constexpr microseconds limited_start_margin{60'000};

/*! @brief Rank of nested calls, before all others. */
constexpr std::uint32_t nested_rank = 0;

/*! @brief A late request may be queued for 1 / `late_wait_divisor` of the time to its deadline. Other
 * requests overtake it meanwhile, so that its estimated wait is too short; its caller should know early. */
constexpr int late_wait_divisor = 5;

/*! @brief Rank of late requests, after all others, so that they only use capacity that is left over. */
constexpr std::uint32_t late_rank = 1'000'000;

} // namespace

timestamp useful_until(const run_request& request, timestamp now) noexcept
{
    if (request.nested || request.objective <= now) {
        return request.deadline;
    }
    return std::min(request.objective, request.deadline);
}

run_queue::priority_key run_queue::priority_key_of(const run_request& request) noexcept
{
    const auto rank = request.nested ? nested_rank : request.late ? late_rank : request.priority + 1;
    return {rank, request.nested ? request.parent_hash : 0, request.deadline, request.id};
}

run_queue::due_key run_queue::due_key_of(const run_request& request) noexcept
{
    return {std::min(request.objective, request.deadline), request.id};
}

microseconds run_queue::estimate_wait(std::size_t ahead, timestamp now) const noexcept
{
    const auto limit_wait = this->rate_limit.wait(ahead, now);
    if (this->running.size() + ahead < this->slots) {
        return limit_wait;
    }
    const auto backlog = this->running.size() + ahead + 1 - this->slots;
    const auto slot_wait = this->mean_service_time * static_cast<microseconds::rep>(backlog) /
                           static_cast<microseconds::rep>(std::max(this->slots, 1U));
    return std::max(slot_wait, limit_wait);
}

microseconds run_queue::estimate_wait(const run_request& request, timestamp now) const
{
    const auto ahead = this->count_starts_before(request);
    if (request.makes_calls) {
        return std::max(this->estimate_wait(ahead, now), this->estimate_caller_wait(ahead));
    }
    if (!request.nested || this->running.size() + ahead < this->slots) {
        return this->estimate_wait(ahead, now);
    }
    // What has run doesn't tell how long a request still runs, because service times have a long tail: the
    // first slot becomes free after the mean time divided by the number of slots.
    const auto next_end = static_cast<double>(this->work.running.count()) /
                          static_cast<double>(std::max<std::size_t>(this->running.size(), 1));
    const auto nested_count =
        std::distance(this->queued.begin(), this->queued.lower_bound({nested_rank + 1, 0, timestamp{}, 0}));
    const auto share = static_cast<double>(ahead) / static_cast<double>(std::max<long>(nested_count, 1));
    const auto before = share * static_cast<double>(this->work.queued[nested_work_rank].count());
    const microseconds slot_wait{static_cast<microseconds::rep>((next_end + before) * this->slowness_at(now) /
                                                                std::max(this->slots, 1U))};
    return std::max(slot_wait, this->rate_limit.wait(ahead, now));
}

microseconds run_queue::estimate_caller_wait(std::size_t ahead) const noexcept
{
    // The queued requests that make calls are taken to be spread evenly over the queue.
    const auto callers_ahead = static_cast<std::size_t>(this->queued_callers) * ahead /
                               std::max<std::size_t>(this->queued.size(), 1);
    if (this->running_callers + callers_ahead < this->caller_limit) {
        return microseconds{0};
    }
    const auto backlog = this->running_callers + callers_ahead + 1 - this->caller_limit;
    return this->mean_service_time * static_cast<microseconds::rep>(backlog) /
           static_cast<microseconds::rep>(this->caller_limit);
}

microseconds run_queue::expected_work_of(const run_request& request, timestamp now) const noexcept
{
    return request.expected_service_time.count() > 0
               ? request.expected_service_time
               : microseconds{static_cast<microseconds::rep>(
                     static_cast<double>(this->mean_service_time.count()) / this->slowness_at(now))};
}

std::size_t run_queue::work_rank(const run_request& request) noexcept
{
    return work_rank_of(request.priority, request.nested, request.late);
}

void run_queue::start(const run_request& request, timestamp now)
{
    this->running.emplace(request.id, running_request{now, request.expected_service_time,
                                                      request.expected_work, request.makes_calls});
    this->work.running += request.expected_work;
    this->running_callers += request.makes_calls ? 1 : 0;
}

bool run_queue::may_start(const run_request& request) const noexcept
{
    return !request.makes_calls || this->running_callers < this->caller_limit;
}

bool run_queue::any_may_start() const noexcept
{
    return this->queued.size() > (this->running_callers < this->caller_limit ? 0 : this->queued_callers);
}

void run_queue::on_stated_slowness(double figure, timestamp now) noexcept
{
    if (!(figure > 0.0)) {
        return;
    }
    this->stated = figure;
    this->stated_at = now;
    this->stated_mean =
        this->stated_mean > 0.0 ? this->stated_mean + (figure - this->stated_mean) * newest_weight : figure;
}

double run_queue::slowness_at(timestamp now) const noexcept
{
    const auto learned = this->learned_slowness_at(now);
    if (this->stated == 0.0) {
        return learned;
    }
    // The learned slowness belongs to the mean of what was stated; only the difference is new.
    const std::chrono::duration<double> age = std::max(now - this->stated_at, microseconds{0});
    const auto ratio = std::clamp(this->stated / this->stated_mean, min_stated_ratio, max_stated_ratio);
    return learned * (1.0 + (ratio - 1.0) * std::exp2(-age / stated_half_life));
}

double run_queue::learned_slowness_at(timestamp now) const noexcept
{
    const std::chrono::duration<double> unobserved = std::max(now - this->slowness_observed, microseconds{0});
    return 1.0 + (this->slowness - 1.0) * std::exp2(-unobserved / slowness_half_life);
}

microseconds run_queue::estimate_service_time(const run_request& request, timestamp now) const noexcept
{
    return request.expected_service_time.count() > 0
               ? microseconds{static_cast<microseconds::rep>(
                     static_cast<double>(request.expected_service_time.count()) * this->slowness_at(now))}
               : this->mean_service_time;
}

bool run_queue::can_finish_in_time(const run_request& request, microseconds wait,
                                   timestamp now) const noexcept
{
    auto service = microseconds{static_cast<microseconds::rep>(
        static_cast<double>(this->estimate_service_time(request, now).count()) * required_service_part)};
    if (this->rate_limit.rate()) {
        service = std::max(service, limited_start_margin);
    }
    return now + wait + service <= std::min(useful_until(request, now), this->end) &&
           now + wait <= request.start_by;
}

std::size_t run_queue::count_starts_before(const run_request& request) const
{
    const auto by_priority = static_cast<std::size_t>(
        std::distance(this->queued.begin(), this->queued.lower_bound(priority_key_of(request))));
    if (request.nested || request.late) {
        return by_priority;
    }
    const auto by_due = static_cast<std::size_t>(
        std::distance(this->queued_by_due.begin(), this->queued_by_due.lower_bound(due_key_of(request))));
    return std::min(by_priority, (by_due + 1) * earliest_due_interval);
}

run_decision run_queue::offer(run_request request, timestamp now)
{
    request.late = request.objective <= now && !request.nested;
    request.start_by = request.late ? now + (request.deadline - now) / late_wait_divisor : request.deadline;
    if (this->slots == 0 || request.deadline <= now || this->running.contains(request.id) ||
        this->keys_by_id.contains(request.id)) {
        return run_decision::reject;
    }
    request.expected_work = this->expected_work_of(request, now);
    if (!this->any_may_start() && this->may_start(request) && this->running.size() < this->slots &&
        this->rate_limit.try_take(now)) {
        this->start(request, now);
        return run_decision::run;
    }
    if (!this->can_finish_in_time(request, this->estimate_wait(request, now), now)) {
        return run_decision::reject;
    }
    const auto key = priority_key_of(request);
    this->queued.emplace(key, request);
    this->keys_by_id.emplace(request.id, key);
    this->work.queued[work_rank(request)] += request.expected_work;
    this->queued_callers += request.makes_calls ? 1 : 0;
    if (!request.nested && !request.late) {
        this->queued_by_due.insert(due_key_of(request));
    }
    return run_decision::queue;
}

void run_queue::finish(std::uint64_t id, bool succeeded, timestamp now)
{
    const auto found = this->running.find(id);
    if (found == this->running.end()) {
        return;
    }
    const auto [started, expected_service_time, expected_work, makes_calls] = found->second;
    const auto service_time = std::chrono::duration_cast<microseconds>(now - started);
    if (succeeded) {
        this->mean_service_time = moving_mean(this->mean_service_time, service_time, newest_weight);
    }
    if (expected_service_time.count() > 0) {
        const auto observed = std::clamp(static_cast<double>(service_time.count()) /
                                             static_cast<double>(expected_service_time.count()),
                                         min_slowness, max_slowness);
        // A failed request ended early: its time in the slot is a lower bound, which may only raise the
        // slowness.
        const auto known = this->learned_slowness_at(now);
        if (succeeded || observed > known) {
            this->slowness = known + (observed - known) * newest_weight;
            this->slowness_observed = now;
        }
    }
    this->running.erase(found);
    this->work.running -= expected_work;
    this->running_callers -= makes_calls ? 1 : 0;
}

std::optional<std::uint64_t> run_queue::start_next(timestamp now)
{
    if (!this->any_may_start() || this->running.size() >= this->slots || !this->rate_limit.try_take(now)) {
        return std::nullopt;
    }
    const auto next = this->select_next();
    this->erase(next.id);
    this->start(next, now);
    return next.id;
}

run_request run_queue::select_next()
{
    if (++this->starts % earliest_due_interval == 0) {
        for (const auto& [due, id] : this->queued_by_due) {
            const auto& request = this->queued.at(this->keys_by_id.at(id));
            if (this->may_start(request)) {
                return request;
            }
        }
    }
    return std::find_if(this->queued.begin(), this->queued.end(),
                        [this](const auto& entry) { return this->may_start(entry.second); })
        ->second;
}

void run_queue::erase(std::uint64_t id)
{
    const auto found = this->keys_by_id.find(id);
    const auto entry = this->queued.find(found->second);
    this->queued_by_due.erase(due_key_of(entry->second));
    this->work.queued[work_rank(entry->second)] -= entry->second.expected_work;
    this->queued_callers -= entry->second.makes_calls ? 1 : 0;
    this->queued.erase(entry);
    this->keys_by_id.erase(found);
}

std::vector<std::uint64_t> run_queue::expire(timestamp now)
{
    std::vector<std::uint64_t> expired{};
    for (const auto& [key, request] : this->queued) {
        auto wait = microseconds{0};
        if (this->rate_limit.rate()) {
            // More urgent requests may have been queued before it since it was offered.
            const auto ahead = this->count_starts_before(request);
            wait = this->rate_limit.wait(ahead - std::min(ahead, expired.size()), now);
        }
        if (!this->can_finish_in_time(request, wait, now)) {
            expired.push_back(request.id);
        }
    }
    for (const auto id : expired) {
        this->erase(id);
    }
    return expired;
}

bool run_queue::remove(std::uint64_t id)
{
    if (!this->keys_by_id.contains(id)) {
        return false;
    }
    this->erase(id);
    return true;
}

std::vector<std::uint64_t> run_queue::remove_all()
{
    std::vector<std::uint64_t> removed{};
    for (const auto& [key, request] : this->queued) {
        removed.push_back(request.id);
    }
    this->queued.clear();
    this->keys_by_id.clear();
    this->queued_by_due.clear();
    this->work.queued = {};
    this->queued_callers = 0;
    return removed;
}

target_load run_queue::load(timestamp now) const noexcept
{
    const auto limit = this->rate_limit.rate();
    target_load load{static_cast<std::uint32_t>(this->running.size()),
                     static_cast<std::uint32_t>(this->queued.size()),
                     this->slots,
                     this->mean_service_time,
                     this->slowness_at(now),
                     limit || this->rate_limit.is_known() ? std::optional{limit.value_or(0.0)} : std::nullopt,
                     this->rate_limit.wait(this->queued.size(), now)};
    load.work = scaled(this->work, this->slowness_at(now));
    return load;
}

microseconds run_queue::time_to_free_slot(timestamp now) const noexcept
{
    return this->estimate_wait(this->queued.size(), now);
}

} // namespace kumquatdrift
