#include "http_client.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

#include <kumquatdrift/core/boot_clock.hpp>

namespace kumquatdrift {
namespace {

/*! @brief Time for which a connection is kept if the peer states none. */
constexpr microseconds default_keep{5'000'000};

/*! @brief Part of the stated time after which a connection is no longer used, so that a request does not
 *         cross the peer's close. */
constexpr double safe_part = 0.6;

std::optional<microseconds> stated_keep(const http_message& answer)
{
    const auto* value = find_field(answer.fields, "Keep-Alive");
    const auto start = value == nullptr ? std::string::npos : value->find("timeout=");
    unsigned seconds{};
    if (start == std::string::npos ||
        std::from_chars(value->data() + start + 8, value->data() + value->size(), seconds).ec !=
            std::errc{}) {
        return std::nullopt;
    }
    return microseconds{seconds * 1'000'000ULL};
}

} // namespace

http_client::~http_client()
{
    this->drop_idle();
    for (auto& [id, call] : this->calls) {
        this->loop.cancel(call.timer);
        if (call.connection) {
            call.connection->close();
        }
    }
}

void http_client::set_address(const socket_address& to)
{
    if (!(this->peer == to)) {
        this->peer = to;
        this->drop_idle();
    }
}

std::uint64_t http_client::call(call_order order, callback done)
{
    const auto id = ++this->last_id;
    const auto deadline = order.deadline;
    auto& call =
        this->calls
            .emplace(id, active_call{std::move(order), std::move(done), nullptr,
                                     http_reader{http_reader::kind::answer, this->settings.max_header,
                                                 this->settings.max_body}})
            .first->second;
    call.reader.reset(call.order.no_body);
    call.generation = this->generation;
    call.timer = this->loop.at(deadline, [this, id] {
        const auto sent = this->calls.at(id).sent;
        this->finish(id, sent ? call_end::timed_out : call_end::not_sent, {}, "no answer in time", false);
    });
    call.connection = this->take_idle(call.order.max_idle);
    if (!call.connection) {
        this->open(id);
        return id;
    }
    // The peer's close may be waiting to be read; the callback sees it before the request is sent.
    this->send(id);
    return id;
}

void http_client::open(std::uint64_t id)
{
    ++this->opened_connections;
    this->calls.at(id).connection = stream::connect(
        this->loop, this->peer, this->settings.connect_timeout, [this, id](const std::string& cause) {
            if (!this->calls.contains(id)) {
                return;
            }
            if (!cause.empty()) {
                this->finish(id, call_end::not_sent, {}, cause, false);
                return;
            }
            this->send(id);
        });
}

void http_client::send(std::uint64_t id)
{
    auto& call = this->calls.at(id);
    call.connection->start(
        [this, id](std::string& buffer) { this->on_data(id, buffer); },
        [this, id](bool orderly, const std::string& cause) { this->on_closed(id, orderly, cause); });
    call.sent = true;
    call.connection->send(call.order.bytes);
}

void http_client::on_data(std::uint64_t id, std::string& buffer)
{
    while (this->calls.contains(id) && !buffer.empty()) {
        auto& call = this->calls.at(id);
        const auto progress = call.reader.feed(buffer);
        if (progress == read_progress::failed) {
            this->finish(id, call_end::malformed, {}, call.reader.failure_reason(), false);
            return;
        }
        if (progress == read_progress::need_more) {
            return;
        }
        this->on_answer(id, buffer);
    }
}

void http_client::on_answer(std::uint64_t id, std::string& buffer)
{
    auto& call = this->calls.at(id);
    auto answer = call.reader.take();
    call.reader.reset(call.order.no_body);
    if (answer.status >= 100 && answer.status < 200) {
        return;
    }
    const auto* answered_id =
        call.order.id_field.empty() ? nullptr : find_field(answer.fields, call.order.id_field);
    if (answered_id != nullptr && *answered_id != call.order.id) {
        call.surplus = true;
        return;
    }
    const auto whole_request_taken = call.connection->unsent() == 0;
    const auto keep = answer.keep_alive && whole_request_taken && buffer.empty() && !call.surplus;
    this->finish(id, call_end::answered, std::move(answer), "", keep);
}

void http_client::on_closed(std::uint64_t id, bool orderly, const std::string& cause)
{
    auto& call = this->calls.at(id);
    if (orderly && call.reader.head_done() && call.reader.end_of_stream() == read_progress::complete) {
        auto answer = call.reader.take();
        const auto* answered_id =
            call.order.id_field.empty() ? nullptr : find_field(answer.fields, call.order.id_field);
        if (answered_id == nullptr || *answered_id == call.order.id) {
            this->finish(id, call_end::answered, std::move(answer), "", false);
            return;
        }
    }
    this->finish(id, call_end::lost, {}, cause, false);
}

void http_client::finish(std::uint64_t id, call_end end, http_message answer, std::string cause, bool keep)
{
    auto node = this->calls.extract(id);
    auto& call = node.mapped();
    this->loop.cancel(call.timer);
    if (call.connection) {
        if (keep && call.generation == this->generation) {
            this->keep(call.connection, answer);
        }
        else if (end == call_end::timed_out) {
            call.connection->abort();
        }
        else {
            call.connection->close();
        }
    }
    this->loop.defer([done = std::move(call.done), alive = std::weak_ptr<int>{this->alive},
                      outcome = call_result{end, std::move(answer), std::move(cause)}]() mutable {
        if (!alive.expired()) {
            done(std::move(outcome));
        }
    });
}

void http_client::keep(const stream::pointer& connection, const http_message& answer)
{
    const auto stated = stated_keep(answer);
    const auto keep = microseconds{static_cast<microseconds::rep>(
        static_cast<double>(stated.value_or(default_keep).count()) * safe_part)};
    // Bytes or an end on an idle connection make it useless.
    const auto drop = [this, peer = connection.get()] {
        this->idle.remove_if([&](const idle_connection& one) { return one.connection.get() == peer; });
    };
    connection->start(
        [drop, connection = std::weak_ptr<stream>{connection}](std::string&) {
            if (const auto live = connection.lock()) {
                live->close();
            }
            drop();
        },
        [drop](bool, const std::string&) { drop(); });
    this->idle.push_back({connection, boot_now(), keep});
    if (this->idle.size() > this->settings.max_idle) {
        this->idle.front().connection->close();
        this->idle.pop_front();
    }
}

stream::pointer http_client::take_idle(microseconds max_idle)
{
    const auto now = boot_now();
    while (!this->idle.empty()) {
        auto last = this->idle.back();
        this->idle.pop_back();
        if (last.connection->is_open() && now - last.since <= std::min(last.keep, max_idle)) {
            return last.connection;
        }
        last.connection->close();
    }
    return nullptr;
}

void http_client::cancel(std::uint64_t id)
{
    auto node = this->calls.extract(id);
    if (node.empty()) {
        return;
    }
    this->loop.cancel(node.mapped().timer);
    if (node.mapped().connection) {
        node.mapped().connection->abort();
    }
}

void http_client::drop_idle()
{
    ++this->generation;
    for (const auto& one : this->idle) {
        one.connection->close();
    }
    this->idle.clear();
}

} // namespace kumquatdrift
