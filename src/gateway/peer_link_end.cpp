#include "peers.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include <kumquatdrift/core/boot_clock.hpp>

namespace kumquatdrift {
namespace {

struct ended_request {
    attempt_callback done{};
    attempt_outcome outcome{};
};

/*! @brief Removes the requests that the other node will never receive, which can be sent to another one. */
std::vector<ended_request> take_unsent_requests(peer_link& link)
{
    std::vector<ended_request> unsent{};
    std::erase_if(link.outbound_requests, [&](auto& entry) {
        const auto offered = link.offered_requests.find(entry.first);
        const auto waits_for_grant = offered != link.offered_requests.end() && offered->second != nullptr;
        if (!waits_for_grant && !link.drop_request(entry.first)) {
            return false;
        }
        unsent.push_back({std::move(entry.second.done), attempt_outcome::unreachable});
        return true;
    });
    return unsent;
}

/*! @brief Cancels the requests that can be executed again by another target. */
std::vector<ended_request> cancel_idempotent_requests(peer_link& link)
{
    std::vector<ended_request> cancelled{};
    std::erase_if(link.outbound_requests, [&](auto& entry) {
        if (!entry.second.idempotent) {
            return false;
        }
        hop::Frame frame{};
        frame.mutable_cancel()->set_id(entry.first);
        link.send(frame);
        cancelled.push_back({std::move(entry.second.done), attempt_outcome::lost});
        return true;
    });
    return cancelled;
}

void complete(const std::vector<ended_request>& requests, const std::string& cause)
{
    for (const auto& [done, outcome] : requests) {
        attempt_result result{};
        result.outcome = outcome;
        result.cause = cause;
        done(std::move(result));
    }
}

std::string describe(const peer_link& link, const std::string& cause)
{
    return "link to " + link.node + ": " + cause;
}

} // namespace

void peers::on_closed(const peer_link::pointer& link, const std::string& cause)
{
    for (const auto& [peer_id, local_id] : std::exchange(link->inbound_requests, {})) {
        this->shared.host.cancel(local_id);
    }
    this->inbound_links.erase(link);
    this->unidentified_links.remove_if([&link](const auto& entry) { return entry.second == link; });
    forget_link(this->grants, link.get());
    if (link->outbound && this->replaced_links.erase(link) == 0) {
        this->detach_link(link, cause);
    }
    auto ended = take_unsent_requests(*link);
    for (auto& [id, request] : std::exchange(link->outbound_requests, {})) {
        ended.push_back({std::move(request.done), attempt_outcome::lost});
    }
    complete(ended, describe(*link, cause));
}

void peers::close_link(const peer_link::pointer& link, const std::string& cause)
{
    link->close();
    this->on_closed(link, cause);
}

/*! @brief Stops the use of an outbound link for new requests, so that another one is opened. */
void peers::detach_link(const peer_link::pointer& link, const std::string& cause)
{
    this->set_reachable(link->node, false, cause);
    if (const auto found = this->outbound_links.find(link->node);
        found != this->outbound_links.end() && found->second.link == link) {
        // `next_dial` stays, so the next attempt starts a dial interval after this one at the earliest.
        found->second.link = nullptr;
    }
    if (auto* known = this->table.find(link->node)) {
        known->in_flight -=
            std::min(known->in_flight, static_cast<std::uint32_t>(link->outbound_requests.size()));
        known->on_link_closed();
    }
}

/*! @brief Opens another link in place of one that may have failed. Requests that the other node may be
 *         executing, and that must not be executed twice, wait for their responses on the previous one. */
void peers::replace_link(const peer_link::pointer& link, timestamp silent_since, const std::string& cause)
{
    this->detach_link(link, cause);
    link->replaced = true;
    link->silent_since = silent_since;
    const auto unsent = take_unsent_requests(*link);
    this->shared.log.write(log_level::info, event_class::state, "peers", "link_replaced",
                           "node={} cause={} not_sent={} waiting={}", link->node, log_value(cause),
                           unsent.size(), link->outbound_requests.size());
    this->replaced_links.insert(link);
    complete(unsent, describe(*link, cause));
    this->check_replaced_links(boot_now());
}

void peers::check_replaced_links(timestamp now)
{
    const std::vector<peer_link::pointer> links{this->replaced_links.begin(), this->replaced_links.end()};
    for (const auto& link : links) {
        const auto silence = now - std::max(link->silent_since, link->last_received_at);
        const auto gives_up = !this->keeps_silent_links;
        if (gives_up && silence > link_timeout) {
            complete(cancel_idempotent_requests(*link), describe(*link, "no answer"));
        }
        if (link->outbound_requests.empty()) {
            this->close_link(link, "replaced");
        }
        else if (gives_up && silence > replaced_link_timeout) {
            this->close_link(link, "no answer");
        }
    }
}

} // namespace kumquatdrift
