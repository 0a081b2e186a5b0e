#include <kumquatdrift/membership/service.hpp>

#include <atomic>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>

#include <Poco/Exception.h>
#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Timespan.h>
#include <log4cxx/logger.h>

#include <membership/exchange.hpp>
#include <membership/exchange_client.hpp>
#include <membership/exchange_server.hpp>
#include <membership/peers.hpp>
#include <membership/table.hpp>

namespace kumquatdrift {
namespace {

constexpr std::size_t receive_buffer_bytes = 2'048;
// Holds the datagrams of one second in which the process is not scheduled.
constexpr int socket_buffer_bytes = 1'000'000;
constexpr std::size_t datagrams_per_receive = 64;
constexpr milliseconds stop_timeout{500};
constexpr milliseconds synchronise_delay{500};
// Minimum intervals between views. A view copies the whole table, which takes about 2 ms with 2,400 members.
// A change after an idle time is published at once. Changes of versions are published less often, because
// routing does not depend on them. The interval grows with the number of members, since a view and the
// routing snapshot built from it take about 1.6 us per member; this keeps their cost below 0.8 % of a core
// under constant churn.
constexpr milliseconds endpoint_view_interval{250};
constexpr milliseconds version_view_interval{1'000};
constexpr microseconds view_interval_per_member{250};

log4cxx::LoggerPtr logger()
{
    static const auto instance = log4cxx::Logger::getLogger("member");
    return instance;
}

} // namespace

struct membership_service::implementation {
    implementation(membership_state initial, const Poco::Net::DatagramSocket& bound, view_callback callback)
        : state{std::move(initial)}, socket{bound}, on_view{std::move(callback)}, view{view_of(this->state)},
          server{this->mutex, this->state, this->rng}
    {
    }

    void run();
    void receive(microseconds wait);
    void send(const std::vector<outgoing>& messages);
    void tick(timestamp now);
    void publish(timestamp now);
    [[nodiscard]] bool has_pushes() const;

    mutable std::mutex mutex{};
    membership_state state;
    random_engine rng{std::random_device{}()};
    Poco::Net::DatagramSocket socket;
    view_callback on_view;
    std::atomic<member_view_ptr> view;
    internal::exchange_server server;
    internal::exchange_client client{};
    std::atomic<bool> stopping{false};
    std::thread thread{};
    std::uint64_t published_endpoint_generation{};
    timestamp published{};
};

void membership_service::implementation::run()
{
    auto next_tick = steady_now();
    std::optional<timestamp> deadline;
    while (true) {
        auto now = steady_now();
        if (now < next_tick) {
            this->receive(next_tick - now);
        }
        now = steady_now();
        if (now >= next_tick) {
            this->tick(now);
            next_tick = now + this->state.settings.tick_period;
        }
        this->publish(now);
        if (this->stopping && !deadline) {
            deadline = now + stop_timeout;
        }
        if (deadline && (now >= *deadline || !this->has_pushes())) {
            return;
        }
    }
}

void membership_service::implementation::receive(microseconds wait)
{
    std::array<char, receive_buffer_bytes> buffer{};
    try {
        // poll() is used instead of available(), which returns 0 for an empty datagram. The timeout is
        // rounded up to whole milliseconds, because POCO polls in a busy loop for a fraction of a
        // millisecond.
        microseconds timeout = std::chrono::ceil<milliseconds>(wait);
        for (std::size_t count = 0; count < datagrams_per_receive; ++count) {
            if (!this->socket.poll(Poco::Timespan{timeout.count()}, Poco::Net::Socket::SELECT_READ)) {
                return;
            }
            timeout = microseconds{0};
            Poco::Net::SocketAddress sender;
            const auto size =
                this->socket.receiveFrom(buffer.data(), static_cast<int>(buffer.size()), sender);
            const gossip_address from{sender.host().toString(), sender.port()};
            const std::string_view bytes{buffer.data(), static_cast<std::size_t>(std::max(size, 0))};
            std::vector<outgoing> responses;
            {
                const std::lock_guard lock{this->mutex};
                responses = on_datagram(this->state, {from, bytes}, steady_now(), this->rng);
            }
            this->send(responses);
        }
    }
    catch (const Poco::Exception& error) {
        // An ICMP error for a sent datagram is reported by the next receive. The failure detector handles the
        // receiver, so the error is only logged.
        LOG4CXX_DEBUG(logger(), "member: receive failed: " << error.displayText());
    }
}

void membership_service::implementation::send(const std::vector<outgoing>& messages)
{
    for (const auto& message : messages) {
        try {
            const Poco::Net::SocketAddress to{message.to.ip, message.to.port};
            this->socket.sendTo(message.bytes.data(), static_cast<int>(message.bytes.size()), to);
        }
        catch (const Poco::Exception& error) {
            LOG4CXX_DEBUG(logger(),
                          "member: send to " << message.to.ip << " failed: " << error.displayText());
        }
    }
}

void membership_service::implementation::tick(timestamp now)
{
    std::vector<outgoing> messages;
    {
        const std::lock_guard lock{this->mutex};
        messages = on_tick(this->state, now, this->rng);
        this->client.run(this->state, now, this->rng);
    }
    this->send(messages);
}

void membership_service::implementation::publish(timestamp now)
{
    member_view_ptr new_view;
    {
        const std::lock_guard lock{this->mutex};
        const auto current = this->view.load();
        const bool endpoints = this->published_endpoint_generation != this->state.endpoint_generation ||
                               current->synchronisations != this->state.synchronisations;
        const bool versions = current->generation != this->state.generation;
        const auto endpoint_interval = std::max<microseconds>(
            endpoint_view_interval, view_interval_per_member * this->state.members.size());
        const microseconds interval = endpoints ? endpoint_interval : version_view_interval;
        if ((!endpoints && !versions) || now - this->published < interval) {
            return;
        }
        new_view = view_of(this->state);
        this->published_endpoint_generation = this->state.endpoint_generation;
        this->published = now;
    }
    this->view.store(new_view);
    if (this->on_view) {
        this->on_view(new_view);
    }
}

bool membership_service::implementation::has_pushes() const
{
    const std::lock_guard lock{this->mutex};
    return !this->state.urgent.empty();
}

result<std::unique_ptr<membership_service>>
membership_service::make(membership_settings settings, const member_identity& identity, view_callback on_view)
{
    try {
        Poco::Net::DatagramSocket socket{Poco::Net::SocketAddress{identity.ip, identity.gossip_port}, false};
        socket.setReceiveBufferSize(socket_buffer_bytes);
        member_record self;
        self.node = identity.node;
        self.data_centre = identity.data_centre;
        self.start_time = identity.start_time;
        self.ip = identity.ip;
        self.gossip_port = socket.address().port();
        auto state = make_membership_state(std::move(settings), self, steady_now());
        if (!state) {
            return failure{state.last_reason()};
        }
        auto created = std::make_unique<implementation>(std::move(*state), socket, std::move(on_view));
        return std::unique_ptr<membership_service>{new membership_service{std::move(created)}};
    }
    catch (const Poco::Exception& error) {
        return failure{"cannot bind the gossip endpoint " + identity.ip + ":" +
                       std::to_string(identity.gossip_port) + ": " + error.displayText()};
    }
}

membership_service::membership_service(std::unique_ptr<implementation> created) noexcept
    : impl{std::move(created)}
{
}

membership_service::~membership_service()
{
    this->stop();
}

void membership_service::start(const listen_ports& ports)
{
    {
        const std::lock_guard lock{this->impl->mutex};
        auto content = internal::own_member(this->impl->state).record;
        content.peer_port = ports.peer;
        content.control_port = ports.control;
        content.caller_port = ports.caller;
        static_cast<void>(update_self(this->impl->state, content, steady_now()));
    }
    LOG4CXX_INFO(logger(), "member: gossip endpoint is listening on port " << this->gossip_port());
    this->impl->thread = std::thread{[this] { this->impl->run(); }};
}

void membership_service::stop()
{
    this->impl->stopping = true;
    if (this->impl->thread.joinable()) {
        this->impl->thread.join();
    }
}

grpc::Service& membership_service::exchange_service() noexcept
{
    return this->impl->server;
}

std::uint16_t membership_service::gossip_port() const noexcept
{
    const std::lock_guard lock{this->impl->mutex};
    return internal::own_member(this->impl->state).record.gossip_port;
}

void membership_service::set_version(config_version version)
{
    const std::lock_guard lock{this->impl->mutex};
    auto content = internal::own_member(this->impl->state).record;
    content.version = version;
    static_cast<void>(update_self(this->impl->state, content, steady_now()));
}

void membership_service::set_state(member_state state)
{
    const std::lock_guard lock{this->impl->mutex};
    auto content = internal::own_member(this->impl->state).record;
    content.state = state;
    static_cast<void>(update_self(this->impl->state, content, steady_now()));
}

result<bool> membership_service::set_targets(std::vector<target_record> targets)
{
    const std::lock_guard lock{this->impl->mutex};
    auto content = internal::own_member(this->impl->state).record;
    content.targets = std::move(targets);
    return update_self(this->impl->state, content, steady_now());
}

void membership_service::add_advisory(std::string key, std::string value, milliseconds lifetime)
{
    const std::lock_guard lock{this->impl->mutex};
    const auto now = steady_now();
    kumquatdrift::add_advisory(this->impl->state, {std::move(key), std::move(value), now + lifetime}, now);
}

std::vector<advisory_entry> membership_service::advisories() const
{
    const std::lock_guard lock{this->impl->mutex};
    const auto now = steady_now();
    std::vector<advisory_entry> entries;
    for (const auto& [key, entry] : this->impl->state.advisories) {
        if (entry.expires_at > now) {
            entries.push_back(entry);
        }
    }
    return entries;
}

member_view_ptr membership_service::view() const
{
    return this->impl->view.load();
}

member_record membership_service::self() const
{
    const std::lock_guard lock{this->impl->mutex};
    return internal::own_member(this->impl->state).record;
}

config_version membership_service::version_floor() const
{
    const std::lock_guard lock{this->impl->mutex};
    return this->impl->state.version_floor;
}

void membership_service::schedule_synchronisation()
{
    const std::lock_guard lock{this->impl->mutex};
    auto& state = this->impl->state;
    const auto due = steady_now() + full_jitter(this->impl->rng, synchronise_delay);
    state.next_exchange = std::min(state.next_exchange, due);
}

void membership_service::add_contacts(const std::vector<gossip_address>& contacts)
{
    const std::lock_guard lock{this->impl->mutex};
    kumquatdrift::add_contacts(this->impl->state, contacts);
}

membership_counters membership_service::counters() const
{
    const std::lock_guard lock{this->impl->mutex};
    return this->impl->state.counters;
}

} // namespace kumquatdrift
