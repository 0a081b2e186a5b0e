#include <kumquatdrift/gateway/gateway.hpp>

#include <csignal>
#include <filesystem>
#include <random>
#include <utility>

#include <unistd.h>

#include <boost/asio/signal_set.hpp>

#include <kumquatdrift/core/boot_clock.hpp>
#include <kumquatdrift/telemetry/metrics.hpp>

#include "client_guard.hpp"
#include "config_monitor.hpp"
#include "entry_router.hpp"
#include "http_server.hpp"
#include "loop.hpp"
#include "peers.hpp"
#include "rollout_exchange.hpp"
#include "store_resets.hpp"
#include "target_host.hpp"

namespace kumquatdrift {
namespace {

/*! @brief Time after the stop signal for which requests of callers are accepted. It covers two failed
 * readiness checks, one a second, and the requests under way. Callers may send requests for longer if many
 * nodes stop at the same time. */
constexpr microseconds accept_after_stop{2'600'000};
/*! @brief Time after the stop signal for which requests of other nodes are accepted; by then the other nodes
 *         have been told that this node stops. */
constexpr microseconds serve_peers_after_stop{500'000};
/*! @brief Time before the process is killed at which all requests in flight are aborted with a response. */
constexpr microseconds margin_before_kill{400'000};
/*! @brief Time between the end of listening and the exit of the process, in which requests that have already
 *         arrived on open connections are read and rejected. */
constexpr microseconds linger_after_listening{100'000};
/*! @brief Interval at which the settings file is checked for changes. */
constexpr microseconds settings_check_interval{1'000'000};
/*! @brief Interval at which it is checked whether this node is to follow the store. */
constexpr microseconds store_check_interval{500'000};
/*! @brief Time after the start before the health of a target that has not reported is checked. */
constexpr microseconds first_report_timeout{150'000};
/*! @brief Time after the first configuration after which a node calls itself ready although it is not linked
 * to most of the nodes that it knows. */
constexpr microseconds max_connect_time{2'000'000};
/*! @brief Owns the components of the gateway and connects them; handles signals, reloads and shutdown. */
class gateway_process {
public:
    gateway_process(const gateway_settings& initial, std::string path, const platform_factory& factory,
                    event_log& output)
        : settings{initial}, settings_path{std::move(path)}, log{output}, platform{factory(this->loop,
                                                                                           this->settings)},
          local_target{{this->loop, *this->platform, this->log, this->metrics, this->quarantine},
                       this->settings.node,
                       this->settings.report_interval,
                       [this] { this->on_target_change(); }},
          peer_nodes{{this->loop, this->log, this->local_target, this->quarantine, this->rng, this->metrics},
                     [this] { return this->make_record(); },
                     [this](std::uint32_t version, const std::string& document) {
                         this->on_peer_config(version, document);
                     }},
          resets{{this->log, this->metrics, this->rng, *this->platform, this->peer_nodes.members(),
                  [this] { this->platform->announce(this->make_record()); },
                  [this] { this->peer_nodes.broadcast_state(); }}},
          rollouts{{this->loop, this->log, this->metrics, *this->platform, this->peer_nodes, this->settings,
                    [this] { return this->make_record(); }}},
          router{{this->loop, *this->platform, this->log, this->metrics, this->local_target, this->peer_nodes,
                  this->quarantine, this->rollouts, this->settings, this->rng}},
          caller_server{this->loop, [this] { return this->limits(); }, this->limits_of_process.callers,
                        [this](const http_exchange_ptr& exchange) { this->router.on_request(exchange); },
                        this->limits_of_process.body_bytes},
          report_server{this->loop, [] { return caller_limits{}; }, this->limits_of_process.control,
                        [this](const http_exchange_ptr& exchange) { this->on_report_request(exchange); }},
          ready_server{this->loop, [] { return caller_limits{}; }, this->limits_of_process.control,
                       [this](const http_exchange_ptr& exchange) { this->on_readiness_check(exchange); }},
          metrics_server{this->loop, [] { return caller_limits{}; }, this->limits_of_process.control,
                         [this](const http_exchange_ptr& exchange) {
                             exchange->respond({200, "", "Content-Type: text/plain; version=0.0.4\r\n",
                                                this->metrics.exposition()});
                         }}
    {
        if (const auto target = parse_address(this->settings.target_address)) {
            this->local_target.set_address(*target);
        }
        this->loop.memory().set_limit(this->limits_of_process.held_bytes);
        this->peer_nodes.set_max_unidentified(this->limits_of_process.unidentified);
        this->peer_nodes.usage_caps().start(this->settings.node, this->settings.usage_caps);
        this->loop.on_tick([this](timestamp now) { this->on_tick(now); });
        this->loop.on_suspension([this](microseconds gap) { this->on_suspension(gap); });
    }

    [[nodiscard]] result<bool> start()
    {
        const std::pair<http_server*, const std::string*> servers[]{
            {&this->caller_server, &this->settings.callers_address},
            {&this->report_server, &this->settings.reports_address},
            {&this->ready_server, &this->settings.ready_address},
            {&this->metrics_server, &this->settings.metrics_address}};
        for (const auto& [server, address_text] : servers) {
            const auto address = parse_address(*address_text);
            if (!address) {
                continue; // Only the address for metrics is optional.
            }
            server->on_accept_error([this](const std::string& cause) {
                this->log.write(log_level::warn, event_class::failed_request, "gateway", "accept_failed",
                                "cause={}", log_value(cause));
            });
            this->guard.watch(*server, *address_text, this->settings.clients);
            if (const auto bound = server->listen(*address); !bound) {
                return failure{bound.last_reason()};
            }
        }
        const auto peers_address = parse_address(this->settings.peers_address);
        if (const auto bound = this->peer_nodes.listen(*peers_address); !bound) {
            return failure{bound.last_reason()};
        }
        this->log.write(log_level::info, event_class::state, "gateway", "started",
                        "node={} data_centre={} service={} started_ms={} callers={} peers={}",
                        this->settings.node, this->settings.data_centre, this->settings.service,
                        this->started_ms, this->settings.callers_address, this->settings.peers_address);
        this->local_target.await_recorded_leaves();
        this->platform->watch(
            {[this](mesh_config_ptr newer) { this->apply_config(std::move(newer), "store"); },
             [this](bool available) { this->on_store_access(available); },
             [this](timestamp sent) { this->peer_nodes.on_store_current(sent, boot_now()); },
             [this](const member_record& record) { this->peer_nodes.on_member(record); },
             [this](const target_memory& leave) { this->local_target.restore_recorded(leave); },
             [this] { this->local_target.on_leaves_read(); },
             [this](bool normal, const std::string& event, const std::string& fields) {
                 this->log.write(normal ? log_level::info : log_level::warn, event_class::state, "platform",
                                 event, "{}", fields);
             },
             [this](std::uint64_t generation) { this->resets.on_generation(generation, boot_now()); },
             [this](rollout_order order) { this->rollouts.on_order(std::move(order)); }});
        this->platform->announce(this->make_record());
        this->loop.call_at(boot_now() + first_report_timeout, [this] { this->check_target_health(); });
        this->wait_for_signal();
        return true;
    }

    void run()
    {
        this->loop.run();
        this->log.write(log_level::info, event_class::state, "gateway", "stopped", "open_requests={}",
                        this->router.in_flight());
        this->log.flush();
    }

private:
    [[nodiscard]] member_record make_record()
    {
        member_record own{};
        const auto address = parse_address(this->settings.peers_address);
        const auto& report = this->local_target.report();
        own.node = this->settings.node;
        own.data_centre = this->settings.data_centre;
        own.ip = address->ip;
        own.port = address->port;
        own.started_ms = this->started_ms;
        own.revision = ++this->last_revision;
        own.service = report.service.empty() ? this->settings.service : report.service;
        own.instance = report.instance;
        own.target_started_ms = report.started_ms;
        own.state = report.state;
        own.cold_left = report.cold_left;
        own.leaving = this->stopping_since.has_value();
        own.config_version = this->config ? this->config->version : 0;
        own.store_lost = this->store_lost;
        own.load = this->local_target.load();
        own.store_generation = this->resets.generation();
        own.version = report.version;
        own.process_nonce = this->process_nonce;
        own.target_sequence = report.sequence;
        return own;
    }

    [[nodiscard]] caller_limits limits() const
    {
        return this->config ? this->config->limits : caller_limits{};
    }

    void on_target_change()
    {
        this->peer_nodes.broadcast_state();
        if (const auto leave = this->local_target.take_unrecorded_leave()) {
            this->platform->record_leave(*leave);
        }
    }

    void apply_config(mesh_config_ptr newer, const std::string& source)
    {
        const auto current = this->config ? this->config->version : 0;
        if (newer->version <= current) {
            this->log.write(log_level::debug, event_class::state, "config", "config_not_newer",
                            "version={} current={} source={}", newer->version, current, source);
            return;
        }
        if (!this->config) {
            this->config_since = boot_now();
        }
        this->config = std::move(newer);
        this->router.set_routes(std::make_shared<const route_index>(this->config));
        this->peer_nodes.set_config(this->config);
        this->log.write(log_level::info, event_class::state, "config", "config_in_force",
                        "version={} before={} source={} routes={} services={}", this->config->version,
                        current, source, this->config->routes.size(), this->config->services.size());
        // Other nodes learn the version with the next ping. Only those that follow the store tell them at
        // once: otherwise the number of messages grew with the square of the number of nodes.
        if (this->follows_store) {
            this->peer_nodes.broadcast_state();
        }
        this->check_target_health();
    }

    void on_peer_config(std::uint32_t version, const std::string& document)
    {
        if (this->config && version <= this->config->version) {
            return;
        }
        auto decoded = this->platform->decode_config(document);
        if (!decoded) {
            this->log.write(log_level::warn, event_class::state, "config", "config_refused",
                            "version={} source=node cause={}", version, log_value(decoded.last_reason()));
            return;
        }
        this->apply_config(std::move(*decoded), "node");
    }

    void check_target_health()
    {
        if (!this->config) {
            return;
        }
        const auto service = this->config->services.find(this->settings.service);
        if (service == this->config->services.end()) {
            return;
        }
        this->local_target.set_liveness_path(service->second.health_path);
        if (!std::exchange(this->health_requested, true)) {
            this->local_target.check_health(this->settings.service, service->second.health_path);
        }
    }

    void on_report_request(const http_exchange_ptr& exchange)
    {
        const auto report = this->platform->decode_report(exchange->request);
        if (!report) {
            this->log.write(log_level::warn, event_class::state, "target", "bad_report", "cause={} path={}",
                            log_value(report.last_reason()), log_value(exchange->request.target));
            exchange->respond({400, "", "Content-Type: application/json\r\n", "{}"});
            return;
        }
        const auto order = this->local_target.on_report(*report);
        const auto status = order == report_order::nameless ? 400U : is_acknowledged(order) ? 200U : 503U;
        exchange->respond({status, "", "Content-Type: application/json\r\n", "{}"});
    }

    void on_readiness_check(const http_exchange_ptr& exchange)
    {
        const auto ready = this->is_ready(boot_now());
        if (!this->platform->is_ready_check(exchange->request)) {
            exchange->respond({404, "", "", ""});
            return;
        }
        if (std::exchange(this->last_readiness, ready) != ready) {
            this->log.write(log_level::info, event_class::state, "gateway", ready ? "ready" : "not_ready",
                            "config={} newest_known={} reachable={} known={} stopping={}",
                            this->config ? this->config->version : 0,
                            this->peer_nodes.newer_config().newest_known, this->peer_nodes.reachable_count(),
                            this->peer_nodes.members().all().size(), this->stopping_since.has_value());
        }
        exchange->respond({ready ? 200U : 503U, "", "", ""});
    }

    [[nodiscard]] bool is_ready(timestamp now)
    {
        return this->connected && !this->stopping_since && is_current(this->peer_nodes.newer_config(), now);
    }

    void check_connected(timestamp now)
    {
        // Links that break later don't matter: callers on this host have no better node to go to. The store
        // may show an older configuration than other nodes have.
        if (this->connected || !this->config) {
            return;
        }
        const auto linked = 2 * this->peer_nodes.reachable_count() > this->peer_nodes.members().all().size();
        if ((linked && !is_behind(this->peer_nodes.newer_config())) ||
            now - this->config_since > max_connect_time) {
            this->connected = true;
            this->router.confirm_routes();
        }
    }

    void wait_for_signal()
    {
        this->signals.async_wait([this](const boost::system::error_code& error, int number) {
            if (error) {
                return;
            }
            number == SIGHUP ? this->reload("signal") : this->begin_shutdown();
            this->wait_for_signal();
        });
    }

    void begin_shutdown()
    {
        if (this->stopping_since) {
            return;
        }
        this->stopping_since = boot_now();
        this->log.write(log_level::info, event_class::state, "gateway", "stopping",
                        "open_requests={} running={}", this->router.in_flight(),
                        this->local_target.in_flight());
        this->caller_server.start_draining();
        this->peer_nodes.keep_silent_links();
        const auto end = *this->stopping_since + this->settings.grace - margin_before_kill;
        this->router.set_end(end);
        this->local_target.set_end(end);
        this->peer_nodes.broadcast_state();
        this->loop.call_at(*this->stopping_since + serve_peers_after_stop,
                           [this] { this->peer_nodes.reject_requests(); });
    }

    void reload(const std::string& cause)
    {
        auto loaded = load_gateway_settings(this->settings_path);
        if (!loaded) {
            this->log.write(log_level::error, event_class::state, "gateway", "reload_failed",
                            "cause={} reason={}", cause, log_value(loaded.last_reason()));
            return;
        }
        const auto needs_restart = loaded->node != this->settings.node ||
                                   loaded->callers_address != this->settings.callers_address ||
                                   loaded->peers_address != this->settings.peers_address ||
                                   loaded->store_address != this->settings.store_address;
        this->settings.service = loaded->service;
        this->settings.target_address = loaded->target_address;
        this->settings.grace = loaded->grace;
        this->settings.placement = loaded->placement;
        this->settings.revocation = loaded->revocation;
        this->log.set_level(loaded->log);
        if (const auto target = parse_address(this->settings.target_address)) {
            this->local_target.set_address(*target);
        }
        this->check_target_health();
        this->log.write(log_level::info, event_class::state, "gateway", "reloaded",
                        "cause={} service={} target={} needs_restart={}", cause, this->settings.service,
                        this->settings.target_address, needs_restart);
    }

    void on_suspension(microseconds gap)
    {
        this->log.write(log_level::warn, event_class::state, "gateway", "suspended", "ms={}",
                        gap.count() / 1'000);
        this->local_target.on_suspension();
        this->peer_nodes.on_suspension();
        this->platform->refresh();
    }

    void on_tick(timestamp now)
    {
        if (this->next_settings_check <= now) {
            this->next_settings_check = now + settings_check_interval;
            std::error_code error{};
            const auto modified = std::filesystem::last_write_time(this->settings_path, error);
            if (!error && this->settings_modified && *this->settings_modified != modified) {
                this->reload("file_changed");
            }
            if (!error) {
                this->settings_modified = modified;
            }
        }
        if (this->stopping_since) {
            this->continue_shutdown(now);
        }
        this->check_store(now);
        this->check_connected(now);
        this->guard.on_tick(now);
        this->versions.on_tick(now);
        this->log.flush();
    }

    void on_store_access(bool available)
    {
        const auto lost = !available;
        if (std::exchange(this->store_lost, lost) != lost) {
            this->peer_nodes.broadcast_state();
        }
    }

    void check_store(timestamp now)
    {
        this->resets.on_tick(now);
        if (this->next_store_check <= now) {
            this->next_store_check = now + store_check_interval;
            const auto follow = this->peer_nodes.follows_store(now);
            if (std::exchange(this->follows_store, follow) != follow) {
                this->log.write(log_level::info, event_class::state, "config", "store_followed", "follows={}",
                                follow);
                this->platform->follow_config(follow);
            }
        }
        if (!this->follows_store && this->peer_nodes.take_store_read(now)) {
            this->log.write(log_level::info, event_class::state, "config", "store_read",
                            "version={} newest_known={}", this->config ? this->config->version : 0,
                            this->peer_nodes.newer_config().newest_known);
            this->platform->read_config();
        }
    }

    void continue_shutdown(timestamp now)
    {
        const auto stopping_for = now - *this->stopping_since;
        const auto idle = this->router.in_flight() == 0 && this->local_target.in_flight() == 0 &&
                          !this->caller_server.has_unsent_responses() &&
                          !this->peer_nodes.has_unsent_responses();
        if (stopping_for >= this->settings.grace - margin_before_kill) {
            this->router.abort_in_flight();
            this->loop.stop();
        }
        else if (stopping_for >= accept_after_stop) {
            this->router.stop_accepting();
            if (!idle) {
                return;
            }
            if (!this->listening_ended) {
                this->listening_ended = now;
                this->caller_server.stop_listening();
            }
            if (now - *this->listening_ended >= linger_after_listening) {
                this->loop.stop();
            }
        }
    }

    gateway_settings settings;
    process_limits limits_of_process{limits_of(this->settings)};
    std::string settings_path;
    event_log& log;
    event_loop loop{};
    metrics_registry metrics{};
    random_engine rng{std::random_device{}()};
    crash_quarantine quarantine{};
    std::unique_ptr<mesh_platform> platform;
    target_host local_target;
    peers peer_nodes;
    config_monitor versions{this->metrics, this->log,
                            [this]() -> const config_fetch& { return this->peer_nodes.newer_config(); },
                            this->settings.revocation};
    store_resets resets;
    rollout_exchange rollouts;
    entry_router router;
    client_guard guard{this->loop, this->log, this->metrics};
    http_server caller_server;
    http_server report_server;
    http_server ready_server;
    http_server metrics_server;
    boost::asio::signal_set signals{this->loop.context(), SIGTERM, SIGINT, SIGHUP};
    mesh_config_ptr config{};
    std::uint64_t started_ms{unix_ms()};
    std::uint32_t process_nonce{std::uniform_int_distribution<std::uint32_t>{1}(this->rng)};
    std::uint64_t last_revision{};
    std::optional<timestamp> stopping_since{};
    std::optional<timestamp> listening_ended{};
    std::optional<std::filesystem::file_time_type> settings_modified{};
    timestamp next_settings_check{};
    timestamp next_store_check{};
    bool follows_store{true};
    /*! @brief True from a failed read of the configuration in the store until one succeeds. */
    bool store_lost{};
    bool health_requested{};
    bool last_readiness{};
    /*! @brief Time at which this node got its first configuration. */
    timestamp config_since{};
    /*! @brief True once this node has been linked to most other nodes and had the newest version of these. */
    bool connected{};
};

} // namespace

result<bool> run_gateway(const gateway_settings& settings, const std::string& settings_path,
                         const platform_factory& make_platform, event_log& log)
{
    std::signal(SIGPIPE, SIG_IGN);
    gateway_process process{settings, settings_path, make_platform, log};
    if (auto started = process.start(); !started) {
        log.write(log_level::error, event_class::state, "gateway", "start_failed", "cause={}",
                  log_value(started.last_reason()));
        log.flush();
        return started;
    }
    process.run();
    return true;
}

} // namespace kumquatdrift
