#include <kumquatdrift/gateway/gateway.hpp>

#include <csignal>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <utility>

#include <unistd.h>

#include <boost/asio/signal_set.hpp>

#include <kumquatdrift/core/boot_clock.hpp>
#include <kumquatdrift/telemetry/metrics.hpp>

#include "entry.hpp"
#include "http_server.hpp"
#include "loop.hpp"
#include "peers.hpp"
#include "target_host.hpp"

namespace kumquatdrift {
namespace {

/*! @brief Time for which requests are still taken after the request to stop: two failed readiness checks, one
 *         a second, and the requests that were on their way. Callers may come for longer, if many nodes stop.
 */
constexpr microseconds taking_after_stop{2'600'000};
/*! @brief Time between the request to stop and the refusal of requests of other nodes, which hear of it. */
constexpr microseconds serving_after_stop{500'000};
/*! @brief Time before the kill at which all open requests are answered. */
constexpr microseconds margin_before_kill{400'000};
/*! @brief Time between the end of listening and the end of the process, in which requests that had arrived on
 * open connections are read and refused. */
constexpr microseconds last_answers{100'000};
/*! @brief Time between two looks at the settings file. */
constexpr microseconds settings_interval{1'000'000};
/*! @brief Time after which a target that has not reported is asked. */
constexpr microseconds first_report_wait{150'000};
constexpr std::size_t bytes_per_mb = 1'048'576;
/*! @brief One part in so many of the memory may hold bodies of requests: they are held twice while they are
 * sent on, and answers and the process need the rest. */
constexpr std::size_t body_part = 4;
/*! @brief Descriptors left for files, the store, other nodes and the target. */
constexpr std::size_t reserved_descriptors = 600;
/*! @brief Connections on the addresses for reports, readiness and metrics. */
constexpr std::size_t control_connections = 64;

std::uint64_t unix_ms()
{
    std::timespec now{};
    clock_gettime(CLOCK_REALTIME, &now);
    return static_cast<std::uint64_t>(now.tv_sec) * 1'000 +
           static_cast<std::uint64_t>(now.tv_nsec) / 1'000'000;
}

class gateway_process {
public:
    gateway_process(const gateway_settings& initial, std::string path, const platform_factory& make,
                    event_log& out)
        : settings{initial}, settings_path{std::move(path)}, log{out},
          platform{make(this->loop, this->settings)}, host{{this->loop, *this->platform, this->log,
                                                            this->metrics, this->quarantine},
                                                           this->settings.node,
                                                           this->settings.report_interval,
                                                           [this] { this->announce_state(); }},
          others{{this->loop, this->log, this->host, this->quarantine, this->rng},
                 [this] { return this->record(); },
                 [this](std::uint32_t version, const std::string& document) {
                     this->on_peer_config(version, document);
                 }},
          callers{{this->loop, *this->platform, this->log, this->metrics, this->host, this->others,
                   this->quarantine, this->settings, this->rng}},
          caller_server{this->loop, [this] { return this->limits(); },
                        this->settings.max_descriptors -
                            std::min(this->settings.max_descriptors / 2, reserved_descriptors),
                        [this](const http_exchange_ptr& exchange) { this->callers.on_request(exchange); },
                        this->settings.memory_mb * bytes_per_mb / body_part},
          control_server{this->loop, [] { return caller_limits{}; }, control_connections,
                         [this](const http_exchange_ptr& exchange) { this->on_control(exchange); }},
          ready_server{this->loop, [] { return caller_limits{}; }, control_connections,
                       [this](const http_exchange_ptr& exchange) { this->on_ready(exchange); }},
          metrics_server{this->loop, [] { return caller_limits{}; }, control_connections,
                         [this](const http_exchange_ptr& exchange) {
                             exchange->respond({200, "", "Content-Type: text/plain; version=0.0.4\r\n",
                                                this->metrics.exposition()});
                         }}
    {
        if (const auto target = parse_address(this->settings.target_address)) {
            this->host.set_address(*target);
        }
        this->loop.on_tick([this](timestamp now) { this->on_tick(now); });
        this->loop.on_suspension([this](microseconds gap) { this->on_suspension(gap); });
    }

    [[nodiscard]] result<bool> start()
    {
        const std::pair<http_server*, const std::string*> servers[]{
            {&this->caller_server, &this->settings.callers_address},
            {&this->control_server, &this->settings.reports_address},
            {&this->ready_server, &this->settings.ready_address},
            {&this->metrics_server, &this->settings.metrics_address}};
        for (const auto& [server, text] : servers) {
            const auto address = parse_address(*text);
            if (!address) {
                continue; // Only the address for metrics may be empty.
            }
            server->on_accept_error([this](const std::string& cause) {
                this->log.write(log_level::warn, event_class::state, "gateway", "accept_failed", "cause={}",
                                log_value(cause));
            });
            if (const auto bound = server->listen(*address); !bound) {
                return failure{bound.last_reason()};
            }
        }
        const auto peers_address = parse_address(this->settings.peers_address);
        if (const auto bound = this->others.listen(*peers_address); !bound) {
            return failure{bound.last_reason()};
        }
        this->log.write(log_level::info, event_class::state, "gateway", "started",
                        "node={} data_centre={} service={} started_ms={} callers={} peers={}",
                        this->settings.node, this->settings.data_centre, this->settings.service,
                        this->started_ms, this->settings.callers_address, this->settings.peers_address);
        this->platform->watch({[this](mesh_config_ptr newer) { this->apply(std::move(newer), "store"); },
                               [this](const member_record& record) { this->others.on_member(record); },
                               [this](bool good, const std::string& event, const std::string& fields) {
                                   this->log.write(good ? log_level::info : log_level::warn,
                                                   event_class::state, "platform", event, "{}", fields);
                               }});
        this->platform->announce(this->record());
        this->loop.at(boot_now() + first_report_wait, [this] { this->ask_target(); });
        this->wait_for_signal();
        return true;
    }

    void run()
    {
        this->loop.run();
        this->log.write(log_level::info, event_class::state, "gateway", "stopped", "open_requests={}",
                        this->callers.in_flight());
        this->log.flush();
    }

private:
    [[nodiscard]] member_record record()
    {
        member_record self{};
        const auto address = parse_address(this->settings.peers_address);
        const auto& report = this->host.report();
        self.node = this->settings.node;
        self.data_centre = this->settings.data_centre;
        self.ip = address->ip;
        self.port = address->port;
        self.started_ms = this->started_ms;
        self.revision = ++this->revision;
        self.service = report.service.empty() ? this->settings.service : report.service;
        self.instance = report.instance;
        self.state = report.state;
        self.cold_left = report.cold_left;
        self.leaving = this->stopping_since.has_value();
        self.config_version = this->config ? this->config->version : 0;
        self.load = this->host.load();
        return self;
    }

    [[nodiscard]] caller_limits limits() const
    {
        return this->config ? this->config->limits : caller_limits{};
    }

    void announce_state()
    {
        this->others.broadcast_state();
    }

    void apply(mesh_config_ptr newer, const std::string& source)
    {
        const auto current = this->config ? this->config->version : 0;
        if (newer->version <= current) {
            this->log.write(log_level::debug, event_class::state, "config", "config_not_newer",
                            "version={} current={} source={}", newer->version, current, source);
            return;
        }
        this->config = std::move(newer);
        this->callers.set_routes(std::make_shared<const route_index>(this->config));
        this->others.set_config(this->config);
        this->log.write(log_level::info, event_class::state, "config", "config_in_force",
                        "version={} before={} source={} routes={} services={}", this->config->version,
                        current, source, this->config->routes.size(), this->config->services.size());
        this->announce_state();
        this->ask_target();
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
        this->apply(std::move(*decoded), "node");
    }

    void ask_target()
    {
        if (!this->config) {
            return;
        }
        const auto known = this->config->services.find(this->settings.service);
        if (known != this->config->services.end() && !std::exchange(this->asked_target, true)) {
            this->host.check_health(this->settings.service, known->second.health_path);
        }
    }

    void on_control(const http_exchange_ptr& exchange)
    {
        const auto report = this->platform->decode_report(exchange->request);
        if (!report) {
            this->log.write(log_level::warn, event_class::state, "target", "bad_report", "cause={} path={}",
                            log_value(report.last_reason()), log_value(exchange->request.target));
            exchange->respond({400, "", "Content-Type: application/json\r\n", "{}"});
            return;
        }
        this->host.on_report(*report);
        exchange->respond({200, "", "Content-Type: application/json\r\n", "{}"});
    }

    void on_ready(const http_exchange_ptr& exchange)
    {
        const auto ready = this->config && !this->stopping_since;
        if (!this->platform->is_ready_check(exchange->request)) {
            exchange->respond({404, "", "", ""});
            return;
        }
        if (std::exchange(this->was_ready, ready) != ready) {
            this->log.write(log_level::info, event_class::state, "gateway", ready ? "ready" : "not_ready",
                            "config={} stopping={}", this->config ? this->config->version : 0,
                            this->stopping_since.has_value());
        }
        exchange->respond({ready ? 200U : 503U, "", "", ""});
    }

    void wait_for_signal()
    {
        this->signals.async_wait([this](const boost::system::error_code& error, int number) {
            if (error) {
                return;
            }
            if (number == SIGHUP) {
                this->reload("signal");
            }
            else {
                this->stop();
            }
            this->wait_for_signal();
        });
    }

    void stop()
    {
        if (this->stopping_since) {
            return;
        }
        this->stopping_since = boot_now();
        this->log.write(log_level::info, event_class::state, "gateway", "stopping",
                        "open_requests={} running={}", this->callers.in_flight(), this->host.in_flight());
        this->caller_server.start_draining();
        this->announce_state();
        this->loop.at(*this->stopping_since + serving_after_stop, [this] { this->others.stop_serving(); });
    }

    void reload(const std::string& cause)
    {
        auto read = load_gateway_settings(this->settings_path);
        if (!read) {
            this->log.write(log_level::error, event_class::state, "gateway", "reload_failed",
                            "cause={} reason={}", cause, log_value(read.last_reason()));
            return;
        }
        const auto needs_restart = read->node != this->settings.node ||
                                   read->callers_address != this->settings.callers_address ||
                                   read->peers_address != this->settings.peers_address ||
                                   read->store_address != this->settings.store_address;
        this->settings.service = read->service;
        this->settings.target_address = read->target_address;
        this->settings.grace = read->grace;
        this->settings.placement = read->placement;
        this->log.set_level(read->log);
        if (const auto target = parse_address(this->settings.target_address)) {
            this->host.set_address(*target);
        }
        this->log.write(log_level::info, event_class::state, "gateway", "reloaded",
                        "cause={} service={} target={} needs_restart={}", cause, this->settings.service,
                        this->settings.target_address, needs_restart);
    }

    void on_suspension(microseconds gap)
    {
        this->log.write(log_level::warn, event_class::state, "gateway", "suspended", "ms={}",
                        gap.count() / 1'000);
        this->host.on_suspension();
        this->others.on_suspension();
        this->platform->refresh();
    }

    void on_tick(timestamp now)
    {
        if (this->next_settings_check <= now) {
            this->next_settings_check = now + settings_interval;
            std::error_code error{};
            const auto written = std::filesystem::last_write_time(this->settings_path, error);
            if (!error && this->settings_written && *this->settings_written != written) {
                this->reload("file_changed");
            }
            if (!error) {
                this->settings_written = written;
            }
        }
        if (this->stopping_since) {
            this->check_stopped(now);
        }
        this->log.flush();
    }

    void check_stopped(timestamp now)
    {
        const auto since = now - *this->stopping_since;
        const auto idle = this->callers.in_flight() == 0 && this->host.in_flight() == 0;
        if (since >= this->settings.grace - margin_before_kill) {
            this->callers.give_up_all();
            this->loop.stop();
        }
        else if (since >= taking_after_stop) {
            this->callers.stop_taking();
            if (!idle) {
                return;
            }
            if (!this->closing_since) {
                this->closing_since = now;
                this->caller_server.stop_listening();
            }
            if (now - *this->closing_since >= last_answers) {
                this->loop.stop();
            }
        }
    }

    gateway_settings settings;
    std::string settings_path;
    event_log& log;
    event_loop loop{};
    metrics_registry metrics{};
    random_engine rng{std::random_device{}()};
    crash_quarantine quarantine{};
    std::unique_ptr<mesh_platform> platform;
    target_host host;
    peers others;
    entry callers;
    http_server caller_server;
    http_server control_server;
    http_server ready_server;
    http_server metrics_server;
    boost::asio::signal_set signals{this->loop.context(), SIGTERM, SIGINT, SIGHUP};
    mesh_config_ptr config{};
    std::uint64_t started_ms{unix_ms()};
    std::uint64_t revision{};
    std::optional<timestamp> stopping_since{};
    std::optional<timestamp> closing_since{};
    std::optional<std::filesystem::file_time_type> settings_written{};
    timestamp next_settings_check{};
    bool asked_target{};
    bool was_ready{};
};

} // namespace

result<gateway_settings> load_gateway_settings(const std::string& path)
{
    std::ifstream file{path};
    std::ostringstream text{};
    text << file.rdbuf();
    if (!file) {
        return failure{"cannot read the settings file " + path};
    }
    return parse_gateway_settings(text.str());
}

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
