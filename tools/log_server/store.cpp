#include "store.hpp"

#include <algorithm>
#include <utility>

namespace kumquatdrift::log_server {

namespace {

/*! @brief Largest number of payload bytes in one response; the first record is returned whatever its size. */
constexpr std::size_t max_batch_bytes = 8 * 1024 * 1024;

token_bucket make_bucket(const fault_settings& settings)
{
    constexpr double burst_seconds = 0.25;
    const auto rate = static_cast<double>(settings.appends_per_s);
    return token_bucket{rate, std::max(1.0, rate * burst_seconds)};
}

} // namespace

store::store() : bucket{make_bucket(this->active)} {}

append_outcome store::append(const std::string& stream, std::string payload)
{
    const std::lock_guard lock{this->mutex};
    if (this->active.outage) {
        ++this->counted.outage_refusals;
        return {store_status::outage, 0, false};
    }
    const auto now = steady_now();
    if (!this->bucket->try_take(1.0, now)) {
        ++this->counted.rate_limited;
        return {store_status::rate_limited, 0, false};
    }
    auto& content = this->find_or_create(stream);
    const auto offset = content.end();
    ++this->counted.appends;
    this->counted.bytes_in += payload.size();
    content.entries.push_back({std::move(payload), now});
    this->expire(content);
    content.appended.notify_all();
    const auto lose_response = this->active.lose_answers > 0;
    if (lose_response) {
        --this->active.lose_answers;
        ++this->counted.lost_answers;
    }
    return {store_status::ok, offset, lose_response};
}

read_outcome store::read(const std::string& stream, log_offset from, std::size_t limit, milliseconds wait)
{
    std::unique_lock lock{this->mutex};
    auto& content = this->find_or_create(stream);
    ++this->counted.waiting;
    content.appended.wait_for(lock, wait, [&] { return this->active.outage || content.end() > from; });
    --this->counted.waiting;
    if (this->active.outage) {
        ++this->counted.outage_refusals;
        return {store_status::outage, {}};
    }
    this->expire(content);
    ++this->counted.reads;
    read_outcome outcome;
    outcome.batch.bounds = {content.earliest, content.end()};
    this->copy_records(content, from, limit, outcome.batch);
    return outcome;
}

void store::copy_records(const stream_content& content, log_offset from, std::size_t limit, log_batch& batch)
{
    std::size_t bytes = 0;
    for (auto offset = std::max(from, content.earliest); offset < content.end(); ++offset) {
        const auto& payload = content.entries[offset - content.earliest].payload;
        bytes += payload.size();
        if (batch.records.size() >= limit || (!batch.records.empty() && bytes > max_batch_bytes)) {
            return;
        }
        this->counted.bytes_out += payload.size();
        batch.records.push_back({offset, payload});
    }
}

fault_settings store::settings()
{
    const std::lock_guard lock{this->mutex};
    return this->active;
}

void store::set(const fault_settings& settings)
{
    const std::lock_guard lock{this->mutex};
    const auto rate_changed = settings.appends_per_s != this->active.appends_per_s;
    this->active = settings;
    if (rate_changed) {
        this->bucket = make_bucket(settings);
    }
    for (const auto& [name, content] : this->streams) {
        content->appended.notify_all();
    }
}

counters store::counts()
{
    const std::lock_guard lock{this->mutex};
    return this->counted;
}

store::stream_content& store::find_or_create(const std::string& stream)
{
    auto& content = this->streams[stream];
    if (!content) {
        content = std::make_unique<stream_content>();
    }
    return *content;
}

void store::expire(stream_content& content) const
{
    const auto oldest = steady_now() - milliseconds{this->active.retention_ms};
    while (!content.entries.empty()) {
        const auto too_many =
            this->active.retention_records > 0 && content.entries.size() > this->active.retention_records;
        const auto too_old = this->active.retention_ms > 0 && content.entries.front().appended < oldest;
        if (!too_many && !too_old) {
            return;
        }
        content.entries.pop_front();
        ++content.earliest;
    }
}

} // namespace kumquatdrift::log_server
