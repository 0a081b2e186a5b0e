#include <kumquatdrift/node/service.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <fstream>
#include <iostream>
#include <string>
#include <utility>

#include <grpc/grpc.h>
#include <grpcpp/resource_quota.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

#include <kumquatdrift/telemetry/log.hpp>
#include <kumquatdrift/telemetry/trace.hpp>

#include "node/admin_server.hpp"
#include "node/advisory_exchange.hpp"
#include "node/announcer.hpp"
#include "node/mapping.hpp"
#include "node/node_metrics.hpp"
#include "node/presence_loop.hpp"
#include "node/routing_loop.hpp"

namespace kumquatdrift {

namespace {

constexpr std::size_t span_capacity = 4'096;
constexpr milliseconds span_write_interval{1'000};

// gRPC keeps idle threads; a control plane of a few calls a second needs no more than these.
constexpr int max_grpc_threads = 32;

// Time for the announcement of a drain to reach the other nodes before the listeners close.
constexpr milliseconds drain_notice{1'000};

constexpr std::chrono::milliseconds grpc_shutdown_limit{500};

const part_logger& logger()
{
    static const part_logger instance{log_part::node};
    return instance;
}

} // namespace

struct node_service::implementation {
    explicit implementation(daemon_settings chosen) : settings{std::move(chosen)} {}
    ~implementation();

    implementation(const implementation&) = delete;
    implementation(implementation&&) = delete;
    implementation& operator=(const implementation&) = delete;
    implementation& operator=(implementation&&) = delete;

    [[nodiscard]] std::string start_control();
    [[nodiscard]] std::string start_traffic();
    [[nodiscard]] std::string start_server();
    [[nodiscard]] std::string start_admin();
    void start_threads();
    [[nodiscard]] internal::node_status status() const;
    [[nodiscard]] config_version in_force() const;
    void publish_targets(const std::vector<target_record>& targets);
    void write_spans();
    bool drain();
    void stop();

    daemon_settings settings;
    std::atomic<bool> draining{};
    std::atomic<std::uint64_t> in_force_since_us{};
    log_port log{};
    metrics_registry metrics{};
    std::shared_ptr<ring_tracer> tracer{};
    std::unique_ptr<membership_service> membership{};
    std::unique_ptr<internal::routing_loop> routing{};
    std::unique_ptr<claim_service> claims{};
    std::unique_ptr<distribution_service> distribution{};
    std::unique_ptr<proxy_service> proxy{};
    std::unique_ptr<grpc::Server> server{};
    std::unique_ptr<internal::announcer> announcements{};
    std::unique_ptr<internal::presence_loop> presence{};
    std::unique_ptr<internal::advisory_exchange> advisories{};
    std::unique_ptr<internal::periodic_task> span_writer{};
    std::unique_ptr<internal::listener> admin{};
};

node_service::implementation::~implementation()
{
    this->stop();
}

std::string node_service::implementation::start_control()
{
    auto port = make_http_log_port(internal::log_settings_of(this->settings));
    if (!port) {
        return port.last_reason();
    }
    this->log = std::move(*port);
    auto members = membership_service::make(internal::membership_settings_of(this->settings),
                                            internal::identity_of(this->settings), [this](const auto&) {
                                                if (this->routing) {
                                                    this->routing->on_view_change();
                                                }
                                            });
    if (!members) {
        return members.last_reason();
    }
    this->membership = std::move(*members);
    const auto view = [this] { return this->membership->view(); };
    this->routing = std::make_unique<internal::routing_loop>(
        internal::routing_loop::environment{view, [this] { this->membership->synchronise_soon(); },
                                            [this](config_version version) {
                                                this->in_force_since_us = internal::epoch_now_us();
                                                this->membership->set_version(version);
                                            }});
    auto claiming = claim_service::create(this->log, this->settings.node, view);
    if (!claiming) {
        return claiming.last_reason();
    }
    this->claims = std::move(*claiming);
    auto distributing = distribution_service::create(
        {this->log, this->settings.node, this->settings.data_centre, view,
         [this] { return this->membership->version_floor(); },
         [this](const effective_config& config) { this->routing->offer_config(config); }},
        internal::distribution_settings_of(this->settings));
    if (!distributing) {
        return distributing.last_reason();
    }
    this->distribution = std::move(*distributing);
    return {};
}

std::string node_service::implementation::start_traffic()
{
    if (!this->settings.span_sink.empty()) {
        this->tracer = ring_tracer::create(span_capacity, true);
    }
    proxy_dependencies needs;
    needs.snapshot = [this] { return this->routing->current(); };
    needs.claims = this->claims->port();
    needs.on_advisory = [this](const crash_advisory& advisory) {
        internal::advisory_exchange::share(*this->membership, this->settings.node, advisory);
    };
    needs.metrics = &this->metrics;
    needs.tracer = this->tracer;
    auto proxying = proxy_service::create(internal::proxy_settings_of(this->settings), std::move(needs));
    if (!proxying) {
        return proxying.last_reason();
    }
    this->proxy = std::move(*proxying);
    return {};
}

std::string node_service::implementation::start_server()
{
    const auto address = this->settings.ip + ':' + std::to_string(this->settings.control_port);
    grpc::ServerBuilder builder;
    int bound_port = 0;
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &bound_port);
    // Two processes would otherwise share the port without an error.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_MAX_CONCURRENT_STREAMS,
                               static_cast<int>(this->settings.control_max_streams));
    builder.SetMaxReceiveMessageSize(static_cast<int>(this->settings.control_max_message_bytes));
    grpc::ResourceQuota quota;
    quota.SetMaxThreads(max_grpc_threads);
    builder.SetResourceQuota(quota);
    builder.RegisterService(&this->membership->exchange_service());
    builder.RegisterService(&this->distribution->grpc_service());
    builder.RegisterService(&this->claims->grpc_service());
    this->server = builder.BuildAndStart();
    return this->server && bound_port != 0 ? std::string{} : "cannot listen on " + address + " for gRPC";
}

std::string node_service::implementation::start_admin()
{
    this->announcements = std::make_unique<internal::announcer>(
        [this](const std::vector<target_record>& targets) { this->publish_targets(targets); });
    internal::admin_port port;
    port.announce = [this](const internal::announcement& sent) {
        return this->announcements->announce(sent.target, sent.ttl);
    };
    port.status = [this] { return this->status(); };
    port.metrics = [this] { return this->metrics.exposition(); };
    auto listening =
        internal::make_admin_listener(internal::admin_limits_of(this->settings), std::move(port));
    if (!listening) {
        return listening.last_reason();
    }
    this->admin = std::move(*listening);
    return {};
}

void node_service::implementation::start_threads()
{
    internal::add_control_metrics(this->metrics, *this->membership, *this->distribution, *this->claims,
                                  [this] { return this->in_force(); });
    this->membership->set_state(member_state::alive);
    this->membership->start({static_cast<std::uint16_t>(this->settings.peer.port),
                             static_cast<std::uint16_t>(this->settings.control_port),
                             static_cast<std::uint16_t>(this->settings.caller.port)});
    this->presence = std::make_unique<internal::presence_loop>(this->log, *this->membership);
    this->advisories =
        std::make_unique<internal::advisory_exchange>(*this->membership, *this->proxy, this->settings.node);
    if (this->tracer) {
        this->span_writer =
            std::make_unique<internal::periodic_task>(span_write_interval, [this] { this->write_spans(); });
    }
}

config_version node_service::implementation::in_force() const
{
    const auto snapshot = this->routing->current();
    return snapshot ? snapshot->version : 0;
}

internal::node_status node_service::implementation::status() const
{
    return {this->membership->view(),     this->in_force(),         this->in_force_since_us.load(),
            this->distribution->status(), internal::epoch_now_us(), this->draining.load()};
}

void node_service::implementation::publish_targets(const std::vector<target_record>& targets)
{
    // Admission first: once other nodes see a new target, its node must already admit requests for it.
    this->proxy->update_targets(targets);
    const auto published = this->membership->set_targets(targets);
    if (!published) {
        logger().write(log_level::warn, "targets cannot be published: " + published.last_reason());
    }
}

void node_service::implementation::write_spans()
{
    if (this->settings.span_sink == "-") {
        this->tracer->write_spans([](std::string_view line) { std::cerr << line << '\n'; });
        return;
    }
    std::ofstream sink{this->settings.span_sink, std::ios::app};
    this->tracer->write_spans([&sink](std::string_view line) { sink << line << '\n'; });
}

bool node_service::implementation::drain()
{
    logger().write(log_level::info, "draining");
    const milliseconds limit{this->settings.drain_timeout_ms};
    this->draining = true;
    this->membership->set_state(member_state::draining);
    this->proxy->drain();
    std::this_thread::sleep_for(std::min(drain_notice, limit));
    const bool complete = this->proxy->stop(limit);
    this->membership->set_state(member_state::left);
    this->stop();
    logger().write(complete ? log_level::info : log_level::error,
                   complete ? "drained" : "requests were cut at the end of the drain timeout");
    return complete;
}

void node_service::implementation::stop()
{
    this->admin.reset();
    this->announcements.reset();
    this->presence.reset();
    this->advisories.reset();
    this->span_writer.reset();
    if (this->proxy) {
        this->proxy->stop(milliseconds{0});
    }
    if (this->claims) {
        this->claims->stop();
    }
    if (this->distribution) {
        this->distribution->end_streams();
    }
    if (this->server) {
        this->server->Shutdown(std::chrono::system_clock::now() + grpc_shutdown_limit);
        this->server->Wait();
    }
    if (this->membership) {
        this->membership->stop();
    }
}

node_service::node_service(std::unique_ptr<implementation> started) noexcept : parts{std::move(started)} {}

node_service::~node_service() = default;

result<std::unique_ptr<node_service>> node_service::create(const daemon_settings& settings)
{
    auto starting = std::make_unique<implementation>(settings);
    for (const auto step : {&implementation::start_control, &implementation::start_traffic,
                            &implementation::start_server, &implementation::start_admin}) {
        const auto reason = (starting.get()->*step)();
        if (!reason.empty()) {
            return failure{reason};
        }
    }
    starting->start_threads();
    logger().write(log_level::info,
                   "started as " + settings.node + " in data centre " + settings.data_centre);
    return std::unique_ptr<node_service>{new node_service{std::move(starting)}};
}

bool node_service::drain()
{
    return this->parts->drain();
}

} // namespace kumquatdrift
