#include "http_client.hpp"

#include <algorithm>
#include <charconv>
#include <optional>

#include <kumquatdrift/core/boot_clock.hpp>

namespace kumquatdrift {
namespace {

/*! @brief Keep-alive timeout that is assumed if the server sends none. */
constexpr microseconds default_keep_alive{5'000'000};

/*! @brief Share of the keep-alive timeout during which an idle connection is reused. The margin keeps
 * requests from being sent while the server closes the connection. */
constexpr double usable_share = 0.6;

/*! @brief Maximum number of interim responses and of responses to other requests before the response of a
 * call; a server that sends more may go on without end. */
constexpr std::uint32_t max_skipped_responses = 16;

/*! @brief Size in bytes up to which a response is read even while memory is short. */
constexpr std::size_t unpaused_response_bytes = 65'536;

/*! @brief Cause of a call that ends because its response echoes ids of several requests. */
constexpr const char* contradictory_ids_cause = "ids of several requests";

/*! @brief Returns the timeout in the `Keep-Alive` header, if there is one. */
std::optional<microseconds> keep_alive_timeout(const http_message& response)
{
    const auto* value = find_field(response.fields, "Keep-Alive");
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
    this->close_idle();
    for (auto& [id, call] : this->calls) {
        this->loop.cancel(call.timer);
        if (call.connection) {
            call.connection->close();
        }
    }
}

void http_client::set_address(const socket_address& address)
{
    if (!(this->peer_address == address)) {
        this->peer_address = address;
        this->close_idle();
    }
}

std::uint64_t http_client::call(call_request request, callback done)
{
    const auto id = ++this->last_id;
    const auto deadline = request.deadline;
    auto& call =
        this->calls
            .emplace(id, active_call{std::move(request), std::move(done), nullptr,
                                     http_reader{http_reader::kind::response, this->settings.max_header,
                                                 this->settings.max_body}})
            .first->second;
    call.reader.reset(call.request.no_body);
    call.generation = this->generation;
    call.timer = this->loop.call_at(deadline, [this, id] {
        const auto sent = this->calls.at(id).sent;
        this->finish(id, sent ? call_outcome::timed_out : call_outcome::not_sent, {}, "no answer in time",
                     false);
    });
    call.connection = call.request.needs_new_connection ? nullptr : this->take_idle(call.request.max_idle);
    if (!call.connection) {
        this->open(id);
        return id;
    }
    // If the server closed the connection and the event loop hasn't read that yet, the call ends as `lost`.
    this->send(id);
    return id;
}

void http_client::open(std::uint64_t id)
{
    ++this->connections_opened;
    this->calls.at(id).connection_is_new = true;
    this->calls.at(id).connection = socket_stream::connect(
        this->loop, this->peer_address, this->settings.connect_timeout, [this, id](const std::string& cause) {
            if (!this->calls.contains(id)) {
                return;
            }
            if (!cause.empty()) {
                this->finish(id, call_outcome::not_sent, {}, cause, false);
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
    call.connection->send(std::move(call.request.bytes), {});
}

void http_client::on_data(std::uint64_t id, std::string& buffer)
{
    while (this->calls.contains(id) && !buffer.empty()) {
        auto& call = this->calls.at(id);
        const auto progress = call.reader.feed(buffer);
        if (progress == read_progress::failed) {
            this->finish(id, call_outcome::malformed, {}, call.reader.failure_reason(), false);
            return;
        }
        if (progress == read_progress::complete) {
            this->on_response(id, buffer);
            continue;
        }
        this->set_buffered(call, call.reader.partial().body.size());
        if (this->settings.max_buffered > 0 && this->total_buffered > this->settings.max_buffered) {
            this->finish(id, call_outcome::malformed, {}, "incomplete responses exceed the limit", false);
        }
        this->limit_reading();
        return;
    }
}

void http_client::set_buffered(active_call& call, std::size_t bytes) noexcept
{
    this->total_buffered += bytes - call.buffered;
    this->charge.set(this->total_buffered);
    call.buffered = bytes;
}

void http_client::limit_reading()
{
    const auto& memory = this->loop.memory();
    const auto is_short = this->settings.yields_memory && memory.is_short();
    if (!is_short && !this->has_paused) {
        return;
    }
    // The oldest long response goes on unless others hold the memory, so that incomplete responses alone
    // can't keep each other from arriving.
    std::uint64_t oldest{};
    if (memory.held() - this->total_buffered <= memory.short_from()) {
        for (const auto& [id, call] : this->calls) {
            if (call.buffered > unpaused_response_bytes && (oldest == 0 || id < oldest)) {
                oldest = id;
            }
        }
    }
    this->has_paused = false;
    for (auto& [id, call] : this->calls) {
        const auto pauses = is_short && id != oldest && call.buffered > unpaused_response_bytes;
        this->has_paused = this->has_paused || pauses;
        if (call.sent) {
            call.connection->set_reading(!pauses);
        }
    }
}

http_client::echoed_id http_client::find_echoed_id(const active_call& call, const http_message& response)
{
    if (call.request.id_field.empty()) {
        return echoed_id::none;
    }
    auto found = echoed_id::none;
    for (const auto& field : response.fields) {
        if (!equals_ignore_case(field.name, call.request.id_field)) {
            continue;
        }
        const auto current = field.value == call.request.id ? echoed_id::own : echoed_id::other;
        if (found != echoed_id::none && found != current) {
            return echoed_id::contradictory;
        }
        found = current;
    }
    return found;
}

bool http_client::is_certain(const active_call& call, echoed_id echoed) noexcept
{
    // Without an id, bytes on a connection that was used before may belong to an earlier request.
    return echoed == echoed_id::own ||
           (echoed == echoed_id::none && call.connection_is_new && !call.discarded_response);
}

void http_client::on_response(std::uint64_t id, std::string& buffer)
{
    auto& call = this->calls.at(id);
    auto response = call.reader.take();
    call.reader.reset(call.request.no_body);
    const auto is_interim = response.status >= 100 && response.status < 200;
    const auto echoed = find_echoed_id(call, response);
    if (echoed == echoed_id::contradictory) {
        this->finish(id, call_outcome::malformed, {}, contradictory_ids_cause, false);
        return;
    }
    const auto is_foreign = echoed == echoed_id::other;
    if (is_interim || is_foreign) {
        call.discarded_response = call.discarded_response || is_foreign;
        if (++call.skipped_responses > max_skipped_responses) {
            this->finish(id, call_outcome::malformed, {}, "too many other responses", false);
        }
        return;
    }
    const auto request_sent = call.connection->unsent() == 0;
    // A second copy of a response without id could not be told from the response to the next call.
    const auto identified = call.request.id_field.empty() || echoed == echoed_id::own;
    const auto reusable =
        response.keep_alive && request_sent && buffer.empty() && identified && !call.discarded_response;
    const auto certain = is_certain(call, echoed);
    this->finish(id, call_outcome::answered, std::move(response), "", reusable, certain);
}

void http_client::on_closed(std::uint64_t id, bool orderly, const std::string& cause)
{
    auto& call = this->calls.at(id);
    if (orderly && call.reader.header_complete() && call.reader.end_of_stream() == read_progress::complete) {
        auto response = call.reader.take();
        const auto echoed = find_echoed_id(call, response);
        if (echoed == echoed_id::contradictory) {
            this->finish(id, call_outcome::malformed, {}, contradictory_ids_cause, false);
            return;
        }
        if (echoed != echoed_id::other) {
            const auto certain = is_certain(call, echoed);
            this->finish(id, call_outcome::answered, std::move(response), "", false, certain);
            return;
        }
    }
    this->finish(id, call_outcome::lost, {}, cause, false);
}

void http_client::finish(std::uint64_t id, call_outcome outcome, http_message response, std::string cause,
                         bool reusable, bool is_certain)
{
    auto node = this->calls.extract(id);
    auto& call = node.mapped();
    this->set_buffered(call, 0);
    this->loop.cancel(call.timer);
    if (call.connection) {
        call.connection->set_reading(true);
        if (reusable && call.generation == this->generation) {
            this->retain(call.connection, response);
        }
        else if (outcome == call_outcome::timed_out) {
            call.connection->abort();
        }
        else {
            call.connection->close();
        }
    }
    this->loop.defer(
        [done = std::move(call.done), lifetime = std::weak_ptr<int>{this->lifetime},
         result = call_result{outcome, std::move(response), is_certain, std::move(cause)}]() mutable {
            if (!lifetime.expired()) {
                done(std::move(result));
            }
        });
}

void http_client::retain(const socket_stream::pointer& connection, const http_message& response)
{
    const auto timeout = keep_alive_timeout(response);
    const auto max_idle = microseconds{static_cast<microseconds::rep>(
        static_cast<double>(timeout.value_or(default_keep_alive).count()) * usable_share)};
    // An idle connection that receives bytes or is closed by the server can't be reused.
    const auto remove = [this, peer = connection.get()] {
        this->idle.remove_if([&](const idle_connection& one) { return one.connection.get() == peer; });
    };
    connection->start(
        [remove, connection = std::weak_ptr<socket_stream>{connection}](std::string&) {
            if (const auto live = connection.lock()) {
                live->close();
            }
            remove();
        },
        [remove](bool, const std::string&) { remove(); });
    this->idle.push_back({connection, boot_now(), max_idle});
    if (this->idle.size() > this->settings.max_idle) {
        this->idle.front().connection->close();
        this->idle.pop_front();
    }
}

socket_stream::pointer http_client::take_idle(microseconds max_idle)
{
    const auto now = boot_now();
    while (!this->idle.empty()) {
        auto last = this->idle.back();
        this->idle.pop_back();
        if (last.connection->is_open() && now - last.since <= std::min(last.max_idle, max_idle)) {
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
    this->set_buffered(node.mapped(), 0);
    this->loop.cancel(node.mapped().timer);
    if (node.mapped().connection) {
        node.mapped().connection->abort();
    }
}

void http_client::close_idle()
{
    ++this->generation;
    for (const auto& one : this->idle) {
        one.connection->close();
    }
    this->idle.clear();
}

} // namespace kumquatdrift
