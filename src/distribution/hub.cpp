#include "distribution/hub.hpp"

#include <algorithm>

#include <kumquatdrift/config/records.hpp>
#include <kumquatdrift/core/digest.hpp>
#include <kumquatdrift/distribution/service.hpp>

#include "distribution/watch_stream.hpp"

namespace kumquatdrift::internal {
namespace {

constexpr std::size_t max_event_records = 256;
constexpr std::size_t max_event_bytes = 256 * 1'024;

void fill_records(distribution::v1::Records& message, const std::deque<log_record>& records,
                  std::size_t index)
{
    std::size_t bytes = 0;
    for (; index < records.size() && bytes < max_event_bytes; ++index) {
        const auto& record = records[index];
        auto& added = *message.add_records();
        added.set_offset(record.offset);
        added.set_payload(record.payload);
        added.set_digest(record_digest(record));
        bytes += record.payload.size();
        if (static_cast<std::size_t>(message.records_size()) >= max_event_records) {
            return;
        }
    }
}

} // namespace

parent_hub::parent_hub(const parent_limits& limits, milliseconds timeout)
    : write_timeout{timeout}, limiter{make_parent_limiter(limits)}, last_heartbeat{0, unknown_age,
                                                                                   steady_now()}
{
}

void parent_hub::publish(const replica& replica)
{
    {
        const std::lock_guard lock{this->mutex};
        this->state = replica.state;
        const auto first = replica.state.next_offset - replica.buffer.size();
        while (!this->records.empty() && this->records.front().offset < first) {
            this->records.pop_front();
        }
        const auto known = this->records.empty() ? first : this->records.back().offset + 1;
        for (const auto& record : replica.buffer) {
            if (record.offset >= known) {
                this->records.push_back(record);
            }
        }
    }
    for (const auto& stream : this->all_streams()) {
        stream->send_next();
    }
}

void parent_hub::heartbeat(const heartbeat_info& content)
{
    {
        const std::lock_guard lock{this->mutex};
        this->last_heartbeat = content;
    }
    for (const auto& stream : this->all_streams()) {
        stream->heartbeat(this->write_timeout);
    }
}

void parent_hub::set_other_parents(std::vector<std::string> names)
{
    const std::lock_guard lock{this->mutex};
    this->other_parents = std::move(names);
}

grpc::ServerWriteReactor<distribution::v1::WatchEvent>*
parent_hub::open(grpc::CallbackServerContext* context, const distribution::v1::WatchCall& call)
{
    const auto stream = std::make_shared<watch_stream>(*this, context, call.next_offset());
    std::optional<distribution::v1::Redirect> redirect;
    {
        const std::lock_guard lock{this->mutex};
        redirect = this->check_admission(call.next_offset());
        this->streams.insert(stream);
    }
    stream->start(stream, std::move(redirect));
    return stream.get();
}

std::optional<distribution::v1::Redirect> parent_hub::check_admission(log_offset position)
{
    const auto needs_snapshot = position < this->first_buffered();
    const auto bytes = needs_snapshot ? this->snapshot().text.size() : 0;
    const auto admission = admit_stream(this->limiter, this->streams.size(), bytes, steady_now(), this->rng);
    if (admission.admitted && !this->ended) {
        return std::nullopt;
    }
    ++this->redirected;
    distribution::v1::Redirect redirect;
    redirect.set_retry_after_ms(static_cast<std::uint32_t>(admission.retry_after.count()));
    if (!this->other_parents.empty()) {
        redirect.set_other(this->other_parents[this->rng() % this->other_parents.size()]);
    }
    return redirect;
}

bool parent_hub::fetch(const distribution::v1::FetchCall& call, distribution::v1::Snapshot& response)
{
    const std::lock_guard lock{this->mutex};
    response.set_next_offset(this->state.next_offset);
    if (call.next_offset() >= this->state.next_offset) {
        return true;
    }
    const auto& source = this->snapshot();
    const auto bytes = std::min(static_cast<double>(source.text.size()), this->limiter.limits.snapshot_burst);
    if (!this->limiter.snapshot_byte_bucket.try_take(bytes, steady_now())) {
        return false;
    }
    response.set_state(source.text);
    response.set_digest(source.digest);
    this->sent_bytes += response.ByteSizeLong();
    return true;
}

void parent_hub::end_streams()
{
    {
        const std::lock_guard lock{this->mutex};
        this->ended = true;
    }
    for (const auto& stream : this->all_streams()) {
        stream->end();
    }
}

bool parent_hub::next_event(log_offset& position, distribution::v1::WatchEvent& event)
{
    const std::lock_guard lock{this->mutex};
    if (position >= this->state.next_offset) {
        return false;
    }
    event.Clear();
    if (position < this->first_buffered()) {
        const auto& source = this->snapshot();
        event.mutable_snapshot()->set_next_offset(source.next);
        event.mutable_snapshot()->set_state(source.text);
        event.mutable_snapshot()->set_digest(source.digest);
        position = source.next;
        return true;
    }
    auto& message = *event.mutable_records();
    fill_records(message, this->records, position - this->first_buffered());
    position = message.records(message.records_size() - 1).offset() + 1;
    return true;
}

void parent_hub::fill_heartbeat(distribution::v1::WatchEvent& event)
{
    const std::lock_guard lock{this->mutex};
    event.Clear();
    auto& message = *event.mutable_heartbeat();
    message.set_end(this->state.next_offset);
    message.set_earliest(this->last_heartbeat.earliest);
    const auto elapsed =
        std::chrono::duration_cast<milliseconds>(steady_now() - this->last_heartbeat.measured_at);
    message.set_age_ms(static_cast<std::uint32_t>((this->last_heartbeat.age + elapsed).count()));
}

void parent_hub::remove(const std::shared_ptr<watch_stream>& stream)
{
    const std::lock_guard lock{this->mutex};
    this->streams.erase(stream);
}

void parent_hub::add_counters(distribution_status& status)
{
    const std::lock_guard lock{this->mutex};
    status.children = static_cast<std::uint32_t>(this->streams.size());
    status.redirected = this->redirected;
    status.sent_bytes = this->sent_bytes;
}

log_offset parent_hub::first_buffered() const noexcept
{
    return this->records.empty() ? this->state.next_offset : this->records.front().offset;
}

const parent_hub::encoded_snapshot& parent_hub::snapshot()
{
    if (!this->cached_snapshot || this->cached_snapshot->next != this->state.next_offset) {
        auto text = make_checkpoint_record(this->state);
        const auto text_digest = digest(text);
        this->cached_snapshot = encoded_snapshot{this->state.next_offset, std::move(text), text_digest};
    }
    return *this->cached_snapshot;
}

std::vector<std::shared_ptr<watch_stream>> parent_hub::all_streams()
{
    const std::lock_guard lock{this->mutex};
    return {this->streams.begin(), this->streams.end()};
}

distribution_endpoint::distribution_endpoint(parent_hub& served_hub) : hub{served_hub} {}

grpc::ServerWriteReactor<distribution::v1::WatchEvent>*
distribution_endpoint::Watch(grpc::CallbackServerContext* context, const distribution::v1::WatchCall* call)
{
    return this->hub.open(context, *call);
}

grpc::ServerUnaryReactor* distribution_endpoint::Fetch(grpc::CallbackServerContext* context,
                                                       const distribution::v1::FetchCall* call,
                                                       distribution::v1::Snapshot* response)
{
    auto* reactor = context->DefaultReactor();
    const auto served = this->hub.fetch(*call, *response);
    reactor->Finish(served ? grpc::Status::OK
                           : grpc::Status{grpc::StatusCode::RESOURCE_EXHAUSTED, "too many snapshots"});
    return reactor;
}

} // namespace kumquatdrift::internal
