#include "peers.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include <kumquatdrift/core/boot_clock.hpp>

#include "hop_codec.hpp"

namespace kumquatdrift {
namespace {

/*! @brief Queueing delay above which a request is logged; many times the latency between data centres. */
constexpr microseconds logged_queueing_delay{100'000};

} // namespace

void peers::on_run(const peer_link::pointer& link, hop::Run& message, microseconds queueing_delay)
{
    const auto id = message.id();
    const auto respond = [link = std::weak_ptr<peer_link>{link}, id](attempt_result result) {
        const auto origin = link.lock();
        if (origin && origin->inbound_requests.erase(id) != 0) {
            hop::Frame frame{};
            encode(result, *frame.mutable_answer());
            frame.mutable_answer()->set_id(id);
            frame.mutable_answer()->set_runs_received(origin->runs_received);
            origin->send(frame);
        }
    };
    const auto refuse = [&](const std::string& cause) {
        link->inbound_requests.emplace(id, 0);
        attempt_result result{};
        result.outcome = attempt_outcome::refused;
        result.cause = cause;
        respond(std::move(result));
    };
    if (!this->serving) {
        refuse("node_stops");
        return;
    }
    // The remaining times in the frame are relative to its send time, so the queueing delay is subtracted.
    if (queueing_delay > logged_queueing_delay) {
        this->shared.log.write(
            log_level::info, event_class::failed_request, "peers", "request_held_up",
            "id={} node={} queueing_delay_ms={} remaining_ms={}", log_value(message.attempt()), link->node,
            std::chrono::duration_cast<milliseconds>(queueing_delay).count(), message.time_left_ms());
    }
    // A cancellation takes as long as the request did, so the caller may have left before that time is over.
    if (milliseconds{message.time_left_ms()} < 2 * queueing_delay) {
        refuse("held_up");
        return;
    }
    link->inbound_requests.emplace(
        id, this->shared.host.run(decode(message, boot_now() - queueing_delay), respond));
}

void peers::on_response(const peer_link::pointer& link, hop::Answer& message)
{
    const auto found = link->outbound_requests.find(message.id());
    if (found == link->outbound_requests.end()) {
        return;
    }
    const auto done = std::move(found->second);
    link->outbound_requests.erase(found);
    if (auto* known = this->table.find(link->node)) {
        known->in_flight -= std::min(known->in_flight, 1U);
    }
    auto result = decode(message);
    if (message.has_load()) {
        this->table.update_load(
            link->node, result.load,
            message.has_runs_received() ? std::optional{message.runs_received()} : std::nullopt, boot_now());
    }
    done(std::move(result));
}

std::uint64_t peers::run(std::string_view node, const target_request_ptr& request, attempt_callback done)
{
    const auto found = this->outbound_links.find(node);
    auto* known = this->table.find(node);
    if (found == this->outbound_links.end() || known == nullptr || !known->reachable || !found->second.link ||
        found->second.link->is_congested()) {
        return 0;
    }
    const auto& link = found->second.link;
    const auto id = ++this->last_id;
    hop::Frame frame{};
    encode(*request, boot_now(), *frame.mutable_run());
    frame.mutable_run()->set_id(id);
    if (const auto shortest = link->delays->shortest()) {
        frame.mutable_run()->set_shortest_delay_us(shortest->count());
    }
    link->send(frame);
    link->outbound_requests.emplace(id, std::move(done));
    ++known->in_flight;
    ++known->requests_sent;
    known->request_sent = true;
    return id;
}

void peers::cancel(std::string_view node, std::uint64_t id)
{
    const auto found = this->outbound_links.find(node);
    if (found == this->outbound_links.end() || !found->second.link ||
        found->second.link->outbound_requests.erase(id) == 0) {
        return;
    }
    const auto dropped_before = found->second.link->runs_dropped;
    hop::Frame frame{};
    frame.mutable_cancel()->set_id(id);
    found->second.link->send(frame);
    if (auto* known = this->table.find(node)) {
        known->in_flight -= std::min(known->in_flight, 1U);
        known->requests_sent -= found->second.link->runs_dropped - dropped_before;
    }
}

} // namespace kumquatdrift
