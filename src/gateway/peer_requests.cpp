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

/*! @brief Returns a refusal without a load: the sender uses other targets until the next load arrives. */
attempt_result refusal(const std::string& cause)
{
    attempt_result result{};
    result.outcome = attempt_outcome::refused;
    result.cause = cause;
    return result;
}

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
    if (message.offered()) {
        link->inbound_requests.erase(id);
        on_body_arrived(this->grants, link.get(), id, boot_now());
        this->decide_on_offers();
    }
    if (!this->serving) {
        this->refuse(link, id, refusal("node_stops"));
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
        this->refuse(link, id, refusal("held_up"));
        return;
    }
    if (this->shared.loop.memory().is_full()) {
        this->refuse(link, id, refusal(memory_full_cause));
        return;
    }
    // Held with the result's callback, until the request ends.
    const auto charge = std::make_shared<byte_charge>(this->shared.loop.memory());
    charge->set(message.body().size());
    link->inbound_requests.emplace(
        id, this->shared.host.run(decode(message, boot_now() - queueing_delay),
                                  [respond, charge](attempt_result result) { respond(std::move(result)); }));
}

void peers::refuse(const peer_link::pointer& link, std::uint64_t id, attempt_result result)
{
    hop::Frame frame{};
    encode(result, *frame.mutable_answer());
    frame.mutable_answer()->set_id(id);
    frame.mutable_answer()->set_runs_received(link->runs_received);
    link->inbound_requests.erase(id);
    link->send(frame);
}

void peers::refuse_offer(const peer_link::pointer& link, std::uint64_t id)
{
    auto result = refusal("line_full");
    result.load = this->shared.host.load();
    result.time_to_free_slot = expected_grant_wait(this->grants);
    this->count_decision("refused");
    this->shared.log.write(log_level::info, event_class::failed_request, "peers", "offer_refused",
                           "node={} waiting={} in_transit={} window_bytes={} wait_ms={}", link->node,
                           this->grants.waiting.size(), this->grants.granted.size(),
                           this->grants.window_bytes,
                           std::chrono::duration_cast<milliseconds>(result.time_to_free_slot).count());
    this->refuse(link, id, std::move(result));
}

void peers::count_decision(const std::string& decision)
{
    this->shared.metrics
        .counter_of("gateway_offers_total", "Offers of large bodies by decision", {{"decision", decision}})
        .add();
}

void peers::on_offer(const peer_link::pointer& link, const hop::Offer& message)
{
    if (!this->serving) {
        this->refuse(link, message.id(), refusal("node_stops"));
        return;
    }
    if (this->shared.loop.memory().is_full()) {
        this->refuse(link, message.id(), refusal(memory_full_cause));
        return;
    }
    link->inbound_requests.emplace(message.id(), 0);
    if (!add_offer(this->grants, {link.get(), message.id(), static_cast<std::size_t>(message.bytes()), {}},
                   milliseconds{message.time_left_ms()}, boot_now())) {
        this->refuse_offer(link, message.id());
        return;
    }
    this->decide_on_offers();
}

void peers::decide_on_offers()
{
    for (const auto& [offer, granted] : take_decisions(this->grants, boot_now())) {
        const auto link = std::find_if(this->inbound_links.begin(), this->inbound_links.end(),
                                       [&key = offer.link](const auto& each) { return each.get() == key; });
        if (link == this->inbound_links.end()) {
            continue;
        }
        if (!granted) {
            this->refuse_offer(*link, offer.id);
            continue;
        }
        this->count_decision("granted");
        hop::Frame frame{};
        frame.mutable_grant()->set_id(offer.id);
        (*link)->send(frame);
    }
}

void peers::on_cancel(const peer_link::pointer& link, std::uint64_t id)
{
    if (const auto found = link->inbound_requests.find(id); found != link->inbound_requests.end()) {
        this->shared.host.cancel(found->second);
        link->inbound_requests.erase(found);
    }
    forget_offer(this->grants, link.get(), id);
    this->decide_on_offers();
}

void peers::on_grant(const peer_link::pointer& link, std::uint64_t id)
{
    // A request that was cancelled after its offer is no longer there.
    const auto offered = link->offered_requests.find(id);
    if (offered == link->offered_requests.end()) {
        return;
    }
    if (const auto request = std::exchange(offered->second, nullptr)) {
        this->send_run(*link, id, *request, true);
    }
}

void peers::on_response(const peer_link::pointer& link, hop::Answer& message)
{
    const auto found = link->outbound_requests.find(message.id());
    if (found == link->outbound_requests.end()) {
        return;
    }
    const auto done = std::move(found->second.done);
    link->outbound_requests.erase(found);
    link->offered_requests.erase(message.id());
    auto result = decode(message);
    if (link->replaced) {
        done(std::move(result));
        return;
    }
    if (auto* known = this->table.find(link->node)) {
        known->in_flight -= std::min(known->in_flight, 1U);
    }
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
    link->outbound_requests.emplace(id, outstanding_request{std::move(done), request->idempotent});
    if (link->receiver_accepts_offers && request->body.size() > max_unasked_body_bytes) {
        hop::Frame frame{};
        const auto time_left =
            std::chrono::duration_cast<milliseconds>(request->deadline - boot_now()).count();
        frame.mutable_offer()->set_id(id);
        frame.mutable_offer()->set_bytes(request->body.size());
        frame.mutable_offer()->set_time_left_ms(
            static_cast<std::uint32_t>(std::max<milliseconds::rep>(time_left, 0)));
        link->offered_requests.emplace(id, request);
        link->send(frame);
    }
    else {
        this->send_run(*link, id, *request, false);
    }
    ++known->in_flight;
    ++known->requests_sent;
    known->request_sent = true;
    return id;
}

void peers::send_run(peer_link& link, std::uint64_t id, const target_request& request, bool offered)
{
    hop::Frame frame{};
    encode(request, boot_now(), *frame.mutable_run());
    frame.mutable_run()->set_id(id);
    frame.mutable_run()->set_offered(offered);
    if (const auto shortest = link.delays->shortest()) {
        frame.mutable_run()->set_shortest_delay_us(shortest->count());
    }
    link.send(frame);
}

void peers::cancel(std::string_view node, std::uint64_t id)
{
    const auto has_request = [id](const auto& link) { return link && link->outbound_requests.contains(id); };
    const auto found = this->outbound_links.find(node);
    auto link = found != this->outbound_links.end() ? found->second.link : nullptr;
    if (!has_request(link)) {
        const auto replaced =
            std::find_if(this->replaced_links.begin(), this->replaced_links.end(), has_request);
        if (replaced == this->replaced_links.end()) {
            return;
        }
        link = *replaced;
    }
    link->outbound_requests.erase(id);
    const auto was_offered = link->offered_requests.erase(id) != 0;
    const auto dropped_before = link->runs_dropped;
    hop::Frame frame{};
    frame.mutable_cancel()->set_id(id);
    link->send(frame);
    if (auto* known = this->table.find(node); known != nullptr && !link->replaced) {
        known->in_flight -= std::min(known->in_flight, 1U);
        // The other node has counted an offered request when its offer arrived.
        known->requests_sent -= was_offered ? 0 : link->runs_dropped - dropped_before;
    }
}

} // namespace kumquatdrift
