#include <kumquatdrift/traffic/run_queue.hpp>

#include <algorithm>
#include <iterator>

namespace kumquatdrift {
namespace {

/*! @brief Weight of the newest request in the mean service time; follows a change within some 20 requests. */
constexpr double service_time_gain = 0.1;

/*! @brief Part of the mean service time that has to fit before the end. Half of the requests are shorter than
 *         the mean, because the distribution has a long tail. */
constexpr double needed_service = 0.75;

/*! @brief Rank of inner calls, before all others. */
constexpr std::uint32_t inner_rank = 0;

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
    return {request.inner ? inner_rank : request.priority + 1, request.deadline, request.id};
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

bool run_queue::can_finish(const run_request& request, microseconds wait, timestamp now) const noexcept
{
    const auto service = microseconds{
        static_cast<microseconds::rep>(static_cast<double>(this->mean_service.count()) * needed_service)};
    return now + wait + service <= useful_until(request, now);
}

run_decision run_queue::offer(const run_request& request, timestamp now)
{
    if (this->slots == 0 || request.deadline <= now || this->running.contains(request.id) ||
        this->places.contains(request.id)) {
        return run_decision::refuse;
    }
    const auto position = place_of(request);
    if (this->waiting.empty() && this->running.size() < this->slots) {
        this->running.emplace(request.id, now);
        return run_decision::run;
    }
    const auto ahead =
        static_cast<std::size_t>(std::distance(this->waiting.begin(), this->waiting.lower_bound(position)));
    if (!this->can_finish(request, this->wait_behind(ahead), now)) {
        return run_decision::refuse;
    }
    this->waiting.emplace(position, request);
    this->places.emplace(request.id, position);
    return run_decision::wait;
}

void run_queue::finish(std::uint64_t id, bool answered, timestamp now)
{
    const auto found = this->running.find(id);
    if (found == this->running.end()) {
        return;
    }
    if (answered) {
        const auto held = now - found->second;
        this->mean_service =
            this->mean_service.count() == 0
                ? held
                : microseconds{static_cast<microseconds::rep>(
                      static_cast<double>(this->mean_service.count()) * (1.0 - service_time_gain) +
                      static_cast<double>(held.count()) * service_time_gain)};
    }
    this->running.erase(found);
}

std::optional<std::uint64_t> run_queue::start_next(timestamp now)
{
    if (this->waiting.empty() || this->running.size() >= this->slots) {
        return std::nullopt;
    }
    const auto first = this->waiting.begin();
    const auto id = first->second.id;
    this->places.erase(id);
    this->waiting.erase(first);
    this->running.emplace(id, now);
    return id;
}

std::vector<std::uint64_t> run_queue::expire(timestamp now)
{
    std::vector<std::uint64_t> late{};
    for (auto entry = this->waiting.begin(); entry != this->waiting.end();) {
        if (this->can_finish(entry->second, microseconds{0}, now)) {
            ++entry;
            continue;
        }
        late.push_back(entry->second.id);
        this->places.erase(entry->second.id);
        entry = this->waiting.erase(entry);
    }
    return late;
}

bool run_queue::remove(std::uint64_t id)
{
    const auto found = this->places.find(id);
    if (found == this->places.end()) {
        return false;
    }
    this->waiting.erase(found->second);
    this->places.erase(found);
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
    return removed;
}

target_load run_queue::load() const noexcept
{
    return {static_cast<std::uint32_t>(this->running.size()),
            static_cast<std::uint32_t>(this->waiting.size()), this->slots, this->mean_service};
}

microseconds run_queue::time_to_room() const noexcept
{
    return this->wait_behind(this->waiting.size());
}

} // namespace kumquatdrift
