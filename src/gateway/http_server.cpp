#include "http_server.hpp"

#include <algorithm>
#include <tuple>
#include <utility>
#include <vector>

#include <kumquatdrift/core/boot_clock.hpp>

#include "http_session.hpp"

namespace kumquatdrift {

void http_exchange::respond(http_response response, bool close)
{
    this->on_disconnect = {};
    if (const auto current = this->session.lock()) {
        current->respond(std::move(response), close);
    }
}

http_server::http_server(event_loop& owner, std::function<caller_limits()> source,
                         std::size_t connection_limit, handler callback, std::size_t body_limit)
    : loop{owner}, limits{std::move(source)}, max_connections{connection_limit}, handle{std::move(callback)},
      max_body_bytes{body_limit}, listener{owner,
                                           [this](const socket_stream::pointer& peer) { this->accept(peer); }}
{
}

http_server::~http_server()
{
    this->close();
}

result<socket_address> http_server::listen(const socket_address& address)
{
    return this->listener.listen(address);
}

void http_server::accept(const socket_stream::pointer& connection)
{
    if (this->sessions.size() >= this->max_connections && !this->make_room()) {
        connection->close();
        return;
    }
    auto session = std::make_shared<http_session>(*this, connection);
    this->sessions.insert(session);
    session->start();
}

bool http_server::make_room()
{
    if (this->waiting.empty()) {
        return false;
    }
    const auto has_no_answer = [](const http_session* session) { return !session->has_unsent_response(); };
    const auto idle = std::find_if(this->waiting.begin(), this->waiting.end(), has_no_answer);
    (idle != this->waiting.end() ? *idle : this->waiting.front())->drop(close_cause::connections);
    return true;
}

void http_server::reclaim_bodies(timestamp now)
{
    std::vector<std::shared_ptr<http_session>> stalled{};
    for (auto* session : this->waiting) {
        if (session->has_stalled_body(now)) {
            stalled.push_back(session->shared_from_this());
        }
    }
    for (const auto& session : stalled) {
        if (this->buffered_body_bytes <= this->max_body_bytes) {
            return;
        }
        session->reject_stalled_body();
    }
}

void http_server::check_memory()
{
    if (this->loop.memory().is_exceeded() && !std::exchange(this->relief_scheduled, true)) {
        this->loop.defer([this] {
            this->relief_scheduled = false;
            this->relieve_memory(boot_now());
        });
    }
}

void http_server::relieve_memory(timestamp now)
{
    const auto& memory = this->loop.memory();
    if (!memory.is_short()) {
        return;
    }
    std::vector<std::shared_ptr<http_session>> holders{};
    for (const auto& session : this->sessions) {
        if (session->held() >= min_dropped_bytes) {
            holders.push_back(session);
        }
    }
    const auto rank = [now](const std::shared_ptr<http_session>& session) {
        return std::tuple{session->is_slow(now), session->has_taken_nothing(), session->held()};
    };
    std::sort(holders.begin(), holders.end(),
              [&rank](const auto& left, const auto& right) { return rank(left) > rank(right); });
    auto left = holders.size();
    for (const auto& session : holders) {
        if (left <= 1 || !memory.is_short()) {
            return;
        }
        if (session->is_slow(now) || (memory.is_exceeded() && session->has_unsent_response())) {
            session->drop(close_cause::memory);
            --left;
        }
    }
}

bool http_server::has_unsent_responses() const
{
    return std::any_of(this->sessions.begin(), this->sessions.end(),
                       [](const auto& session) { return session->has_unsent_response(); });
}

void http_server::close()
{
    this->listener.close();
    for (const auto& session : this->sessions) {
        session->close();
    }
    this->sessions.clear();
}

} // namespace kumquatdrift
