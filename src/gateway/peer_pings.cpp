#include "peers.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include <kumquatdrift/core/boot_clock.hpp>

#include "hop_codec.hpp"

namespace kumquatdrift {
namespace {

/*! @brief Interval between pings on a link with outstanding requests. */
constexpr microseconds ping_interval{300'000};
/*! @brief Interval between pings on an idle link; also the maximum age of the target loads received on it. */
constexpr microseconds idle_ping_interval{900'000};
/*! @brief Time without a reply to a ping after which no new request is sent; exceeds the delay of a busy
 *         node. */
constexpr microseconds unreachable_timeout{700'000};

} // namespace

template<typename Message>
void peers::on_peer_version(const std::string& node, const Message& message, microseconds delay)
{
    const auto now = boot_now();
    const auto version = message.config_version();
    if (auto* known = this->table.find(node)) {
        known->record.config_version = std::max(known->record.config_version, version);
    }
    this->configs.observe_version(version, now);
    if (message.has_config_age_ms()) {
        this->configs.on_peer_age(version, milliseconds{message.config_age_ms()} + delay, now);
    }
}

void peers::on_ping(const peer_link::pointer& link, const hop::Ping& ping, microseconds queueing_delay)
{
    this->on_peer_version(link->node, ping, queueing_delay);
    hop::Frame pong{};
    pong.mutable_pong()->set_number(ping.number());
    pong.mutable_pong()->set_config_version(this->configs.version());
    if (const auto age = this->configs.age(boot_now())) {
        pong.mutable_pong()->set_config_age_ms(static_cast<std::uint32_t>(age->count()));
    }
    if (const auto age = this->configs.proven_age(boot_now())) {
        pong.mutable_pong()->set_proven_age_ms(static_cast<std::uint32_t>(age->count()));
    }
    encode(this->shared.host.load(), *pong.mutable_pong()->mutable_load());
    pong.mutable_pong()->set_runs_received(link->runs_received);
    this->caps.on_ping(*pong.mutable_pong(), link->node, boot_now());
    link->send(pong);
}

void peers::on_pong(peer_link& link, const hop::Pong& pong, microseconds queueing_delay)
{
    if (const auto sent = std::exchange(link.ping_sent_at, {}); sent != timestamp{}) {
        this->metrics.ping_seconds->observe(std::chrono::duration<double>{boot_now() - sent}.count());
        const auto number = static_cast<std::uint64_t>(sent.time_since_epoch().count());
        if (pong.has_proven_age_ms() && pong.number() == number) {
            this->configs.on_peer_proof(pong.config_version(), milliseconds{pong.proven_age_ms()}, sent);
        }
    }
    if (auto* known = this->table.find(link.node)) {
        known->delay.on_pong(boot_now());
    }
    this->table.update_load(link.node, decode(pong.load()),
                            pong.has_runs_received() ? std::optional{pong.runs_received()} : std::nullopt,
                            boot_now());
    this->on_peer_version(link.node, pong, queueing_delay);
    this->caps.on_pong(link.node, pong, boot_now());
}

void peers::check_link(const std::string& node, outbound_link& peer, timestamp now)
{
    const auto link = peer.link;
    if (link->ping_sent_at != timestamp{}) {
        const auto silent_since = std::max(link->ping_sent_at, link->last_received_at);
        const auto silence = now - silent_since;
        if (silence > link_timeout && !(this->keeps_silent_links && !link->outbound_requests.empty())) {
            this->replace_link(link, silent_since, "no answer");
            return;
        }
        if (silence > unreachable_timeout) {
            this->set_reachable(node, false, "slow to respond");
        }
    }
    else if (link->last_received_at != timestamp{}) {
        this->set_reachable(node, true, "answers");
    }
    const auto interval = link->outbound_requests.empty() ? idle_ping_interval : ping_interval;
    if (now - peer.last_ping >= interval && link->ping_sent_at == timestamp{}) {
        peer.last_ping = now;
        link->ping_sent_at = now;
        if (auto* known = this->table.find(node)) {
            known->delay.on_ping(now, known->sent_since_load());
        }
        hop::Frame frame{};
        frame.mutable_ping()->set_number(static_cast<std::uint64_t>(now.time_since_epoch().count()));
        frame.mutable_ping()->set_config_version(this->configs.version());
        if (const auto age = this->configs.age(now)) {
            frame.mutable_ping()->set_config_age_ms(static_cast<std::uint32_t>(age->count()));
        }
        link->send(frame);
    }
}

} // namespace kumquatdrift
