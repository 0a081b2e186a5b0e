#include <kumquatdrift/traffic/run_queue.hpp>

#include <algorithm>
#include <iterator>

#include <kumquatdrift/traffic/service_times.hpp>

namespace kumquatdrift {
namespace {

/*! @brief Weight of the newest request in the means; follows a change within some 20 requests. */
constexpr double newest_weight = 0.1;

/*! @brief Bounds of the slowness that a single request shows, so that one odd request does not move the mean
 *         by much. */
constexpr double least_slowness = 0.1;
constexpr double greatest_slowness = 10.0;

/*! @brief Part of the expected service time that has to fit before the end. Half of the requests are shorter
 * than the mean, because the distribution has a long tail. */
constexpr double needed_service = 0.75;

/*! @brief Rank of inner calls, before all others. */
constexpr std::uint32_t inner_rank = 0;

/*! @brief One part in so many of its time may a late request wait for its start: others pass it all the
 * while, so that the estimate of its wait is too short, and its caller had better be told soon. */
constexpr int late_wait_part = 5;

/*! @brief Rank of requests that are late already, after all others: they only take room that nobody else
 * needs. */
constexpr std::uint32_t late_rank = 1'000'000;

} // namespace

timestamp useful_until(const run_request& request, timestamp now) noexcept
{
    if (request.inner || request.objective <= now) {
        return request.deadline;
    }
    return std::min(request.objective, request.deadline);
}

run_queue::place run_queue::place_of(const run_request& request) noexcept
{
    const auto rank = request.inner ? inner_rank : request.late ? late_rank : request.priority + 1;
    return {rank, request.inner ? request.group : 0, request.deadline, request.id};
}

run_queue::due run_queue::due_of(const run_request& request) noexcept
{
    return {std::min(request.objective, request.deadline), request.id};
}

microseconds run_queue::wait_behind(std::size_t ahead) const noexcept
{
    if (this->running.size() + ahead < this->slots) {
        return microseconds{0};
    }
    const auto backlog = this->running.size() + ahead + 1 - this->slots;
    return this->mean_service * static_cast<microseconds::rep>(backlog) /
           static_cast<microseconds::rep>(std::max(this->slots, 1U));
}

microseconds run_queue::service_of(const run_request& request) const noexcept
{
    return request.expected.count() > 0 ? microseconds{static_cast<microseconds::rep>(
                                              static_cast<double>(request.expected.count()) * this->slowness)}
                                        : this->mean_service;
}

bool run_queue::can_finish(const run_request& request, microseconds wait, timestamp now) const noexcept
{
    const auto service = microseconds{static_cast<microseconds::rep>(
        static_cast<double>(this->service_of(request).count()) * needed_service)};
    return now + wait + service <= useful_until(request, now) && now + wait <= request.start_until;
}

std::size_t run_queue::starts_before(const run_request& request) const
{
    const auto by_rank = static_cast<std::size_t>(
        std::distance(this->waiting.begin(), this->waiting.lower_bound(place_of(request))));
    if (request.inner || request.late) {
        return by_rank;
    }
    const auto by_due_time = static_cast<std::size_t>(
        std::distance(this->by_due.begin(), this->by_due.lower_bound(due_of(request))));
    return std::min(by_rank, (by_due_time + 1) * share_interval);
}

run_decision run_queue::offer(run_request request, timestamp now)
{
    request.late = request.objective <= now && !request.inner;
    request.start_until = request.late ? now + (request.deadline - now) / late_wait_part : request.deadline;
    if (this->slots == 0 || request.deadline <= now || this->running.contains(request.id) ||
        this->places.contains(request.id)) {
        return run_decision::refuse;
    }
    if (this->waiting.empty() && this->running.size() < this->slots) {
        this->running.emplace(request.id, run_start{now, request.expected});
        return run_decision::run;
    }
    if (!this->can_finish(request, this->wait_behind(this->starts_before(request)), now)) {
        return run_decision::refuse;
    }
    const auto position = place_of(request);
    this->waiting.emplace(position, request);
    this->places.emplace(request.id, position);
    if (!request.inner && !request.late) {
        this->by_due.insert(due_of(request));
    }
    return run_decision::wait;
}

void run_queue::finish(std::uint64_t id, bool succeeded, timestamp now)
{
    const auto found = this->running.find(id);
    if (found == this->running.end()) {
        return;
    }
    const auto [since, expected] = found->second;
    const auto held = std::chrono::duration_cast<microseconds>(now - since);
    if (succeeded) {
        this->mean_service = moving_mean(this->mean_service, held, newest_weight);
    }
    if (expected.count() > 0) {
        const auto shown =
            std::clamp(static_cast<double>(held.count()) / static_cast<double>(expected.count()),
                       least_slowness, greatest_slowness);
        // A request that did not succeed would have taken longer, so that it can only show slowness.
        if (succeeded || shown > this->slowness) {
            this->slowness += (shown - this->slowness) * newest_weight;
        }
    }
    this->running.erase(found);
}

std::optional<std::uint64_t> run_queue::start_next(timestamp now)
{
    if (this->waiting.empty() || this->running.size() >= this->slots) {
        return std::nullopt;
    }
    const auto goes_by_due = ++this->starts % share_interval == 0 && !this->by_due.empty();
    const auto id = goes_by_due ? this->by_due.begin()->second : this->waiting.begin()->second.id;
    const auto expected = this->waiting.at(this->places.at(id)).expected;
    this->erase(id);
    this->running.emplace(id, run_start{now, expected});
    return id;
}

void run_queue::erase(std::uint64_t id)
{
    const auto found = this->places.find(id);
    const auto entry = this->waiting.find(found->second);
    this->by_due.erase(due_of(entry->second));
    this->waiting.erase(entry);
    this->places.erase(found);
}

std::vector<std::uint64_t> run_queue::expire(timestamp now)
{
    std::vector<std::uint64_t> late{};
    for (const auto& [position, request] : this->waiting) {
        if (!this->can_finish(request, microseconds{0}, now)) {
            late.push_back(request.id);
        }
    }
    for (const auto id : late) {
        this->erase(id);
    }
    return late;
}

bool run_queue::remove(std::uint64_t id)
{
    if (!this->places.contains(id)) {
        return false;
    }
    this->erase(id);
    return true;
}

std::vector<std::uint64_t> run_queue::remove_all()
{
    std::vector<std::uint64_t> removed{};
    for (const auto& [position, request] : this->waiting) {
        removed.push_back(request.id);
    }
    this->waiting.clear();
    this->places.clear();
    this->by_due.clear();
    return removed;
}

target_load run_queue::load() const noexcept
{
    return {static_cast<std::uint32_t>(this->running.size()),
            static_cast<std::uint32_t>(this->waiting.size()), this->slots, this->mean_service,
            this->slowness};
}

microseconds run_queue::time_to_room() const noexcept
{
    return this->wait_behind(this->waiting.size());
}

} // namespace kumquatdrift
