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

constexpr std::size_t span_ring_capacity = 4'096;
constexpr milliseconds span_write_interval{1'000};

// Maximum number of threads of the gRPC server; enough for a control plane of a few calls a second.
constexpr int max_grpc_threads = 32;

// Time for the draining state to propagate to other nodes before the listeners close.
constexpr milliseconds drain_announcement_time{1'000};

constexpr std::chrono::milliseconds grpc_shutdown_timeout{500};

const part_logger& logger()
{
    static const part_logger instance{log_part::node};
    return instance;
}

} // namespace

struct node_service::implementation {
    explicit implementation(daemon_settings node_settings) : settings{std::move(node_settings)} {}
    ~implementation();

    implementation(const implementation&) = delete;
    implementation(implementation&&) = delete;
    implementation& operator=(const implementation&) = delete;
    implementation& operator=(implementation&&) = delete;

    // Start-up steps, in order. All but the last return why they failed, or an empty string.
    [[nodiscard]] std::string create_control_plane();
    [[nodiscard]] std::string create_proxy();
    [[nodiscard]] std::string start_grpc_server();
    [[nodiscard]] std::string start_admin_listener();
    void start_background_work();

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
    std::unique_ptr<internal::announcer> target_announcer{};
    std::unique_ptr<internal::presence_loop> presence{};
    std::unique_ptr<internal::advisory_exchange> advisories{};
    std::unique_ptr<internal::periodic_task> span_writer{};
    std::unique_ptr<internal::listener> admin{};
};

node_service::implementation::~implementation()
{
    this->stop();
}

std::string node_service::implementation::create_control_plane()
{
    auto created_log = make_http_log_port(internal::log_settings_of(this->settings));
    if (!created_log) {
        return created_log.last_reason();
    }
    this->log = std::move(*created_log);
    auto created_membership =
        membership_service::make(internal::membership_settings_of(this->settings),
                                 internal::identity_of(this->settings), [this](const auto&) {
                                     if (this->routing) {
                                         this->routing->on_view_change();
                                     }
                                 });
    if (!created_membership) {
        return created_membership.last_reason();
    }
    this->membership = std::move(*created_membership);
    const auto view = [this] { return this->membership->view(); };
    this->routing = std::make_unique<internal::routing_loop>(
        internal::routing_loop::dependencies{view, [this] { this->membership->schedule_synchronisation(); },
                                             [this](config_version version) {
                                                 this->in_force_since_us = internal::epoch_now_us();
                                                 this->membership->set_version(version);
                                             }});
    auto created_claims = claim_service::create(this->log, this->settings.node, view);
    if (!created_claims) {
        return created_claims.last_reason();
    }
    this->claims = std::move(*created_claims);
    auto created_distribution = distribution_service::create(
        {this->log, this->settings.node, this->settings.data_centre, view,
         [this] { return this->membership->version_floor(); },
         [this](const effective_config& config) { this->routing->offer_config(config); }},
        internal::distribution_settings_of(this->settings));
    if (!created_distribution) {
        return created_distribution.last_reason();
    }
    this->distribution = std::move(*created_distribution);
    return {};
}

std::string node_service::implementation::create_proxy()
{
    if (!this->settings.span_sink.empty()) {
        this->tracer = ring_tracer::create(span_ring_capacity, true);
    }
    proxy_dependencies dependencies;
    dependencies.snapshot = [this] { return this->routing->current(); };
    dependencies.claims = this->claims->port();
    dependencies.on_advisory = [this](const crash_advisory& advisory) {
        internal::advisory_exchange::publish(*this->membership, this->settings.node, advisory);
    };
    dependencies.metrics = &this->metrics;
    dependencies.tracer = this->tracer;
    auto created_proxy =
        proxy_service::create(internal::proxy_settings_of(this->settings), std::move(dependencies));
    if (!created_proxy) {
        return created_proxy.last_reason();
    }
    this->proxy = std::move(*created_proxy);
    return {};
}

std::string node_service::implementation::start_grpc_server()
{
    const auto address = this->settings.ip + ':' + std::to_string(this->settings.control_port);
    grpc::ServerBuilder builder;
    int bound_port = 0;
    builder.AddListeningPort(address, grpc::InsecureServerCredentials(), &bound_port);
    // With SO_REUSEPORT, a second process would share the port without an error.
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

std::string node_service::implementation::start_admin_listener()
{
    this->target_announcer = std::make_unique<internal::announcer>(
        [this](const std::vector<target_record>& targets) { this->publish_targets(targets); });
    internal::admin_callbacks callbacks;
    callbacks.announce = [this](const internal::announcement& received) {
        return this->target_announcer->announce(received.target, received.ttl);
    };
    callbacks.status = [this] { return this->status(); };
    callbacks.metrics = [this] { return this->metrics.exposition(); };
    callbacks.on_closed = internal::make_closure_observer(this->metrics, "admin");
    auto created_listener =
        internal::make_admin_listener(internal::admin_limits_of(this->settings), std::move(callbacks));
    if (!created_listener) {
        return created_listener.last_reason();
    }
    this->admin = std::move(*created_listener);
    return {};
}

void node_service::implementation::start_background_work()
{
    internal::add_control_plane_metrics(this->metrics, *this->membership, *this->distribution, *this->claims,
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
    // Updates admission control first: as soon as other nodes see a new target, this node must admit requests
    // for it.
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
    std::this_thread::sleep_for(std::min(drain_announcement_time, limit));
    const bool complete = this->proxy->stop(limit);
    this->membership->set_state(member_state::left);
    this->stop();
    logger().write(complete ? log_level::info : log_level::error,
                   complete ? "drained" : "drain timed out; requests in flight were aborted");
    return complete;
}

void node_service::implementation::stop()
{
    this->admin.reset();
    this->target_announcer.reset();
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
        this->server->Shutdown(std::chrono::system_clock::now() + grpc_shutdown_timeout);
        this->server->Wait();
    }
    if (this->membership) {
        this->membership->stop();
    }
}

node_service::node_service(std::unique_ptr<implementation> node) noexcept : impl{std::move(node)} {}

node_service::~node_service() = default;

result<std::unique_ptr<node_service>> node_service::create(const daemon_settings& settings)
{
    auto node = std::make_unique<implementation>(settings);
    for (const auto step : {&implementation::create_control_plane, &implementation::create_proxy,
                            &implementation::start_grpc_server, &implementation::start_admin_listener}) {
        const auto reason = (node.get()->*step)();
        if (!reason.empty()) {
            return failure{reason};
        }
    }
    node->start_background_work();
    logger().write(log_level::info,
                   "started as " + settings.node + " in data centre " + settings.data_centre);
    return std::unique_ptr<node_service>{new node_service{std::move(node)}};
}

bool node_service::drain()
{
    return this->impl->drain();
}

} // namespace kumquatdrift
