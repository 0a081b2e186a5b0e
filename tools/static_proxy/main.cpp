// A proxy node with a fixed configuration, to measure the proxy without a log and without membership.
#include <csignal>
#include <cstdlib>
#include <iostream>

#include <tclap/CmdLine.h>

#include <kumquatdrift/proxy/service.hpp>
#include <kumquatdrift/telemetry/log.hpp>

namespace static_proxy {
namespace {

using namespace kumquatdrift;

struct options {
    std::string name{};
    std::string caller{};
    std::string peer{};
    std::vector<std::string> targets{};
    std::vector<std::string> remotes{};
    std::uint32_t slots{};
    std::uint32_t deadline_ms{};
    bool idempotent{};
};

options parse_options(int argc, char** argv)
{
    TCLAP::CmdLine line{"Proxy node with a fixed configuration: one route to one service.", ' ', "0.1"};
    TCLAP::ValueArg<std::string> name{"", "name", "Name of the node", false, "node", "NAME", line};
    TCLAP::ValueArg<std::string> caller{"",        "caller", "Address for callers", false, "127.0.0.1:0",
                                        "IP:PORT", line};
    TCLAP::ValueArg<std::string> peer{"",        "peer", "Address for other nodes", false, "127.0.0.1:0",
                                      "IP:PORT", line};
    TCLAP::MultiArg<std::string> targets{"", "target", "Target on this host", false, "IP:PORT", line};
    TCLAP::MultiArg<std::string> remotes{"",    "remote",  "Peer address of another node with one target, t0",
                                         false, "IP:PORT", line};
    TCLAP::ValueArg<std::uint32_t> slots{"", "slots", "Slots of each target", false, 64, "N", line};
    TCLAP::ValueArg<std::uint32_t> deadline{"",   "deadline-ms", "Deadline of a call", false, 2'000,
                                            "MS", line};
    TCLAP::SwitchArg idempotent{"", "idempotent", "Requests are idempotent", line};
    line.parse(argc, argv);
    return {name.getValue(),    caller.getValue(), peer.getValue(),     targets.getValue(),
            remotes.getValue(), slots.getValue(),  deadline.getValue(), idempotent.getValue()};
}

std::vector<target_record> make_local_targets(const options& settings)
{
    std::vector<target_record> targets;
    for (const auto& address : settings.targets) {
        const auto id = "t" + std::to_string(targets.size());
        targets.push_back({id, "service", address, settings.slots, target_state::ready});
    }
    return targets;
}

member_record make_remote_node(const std::string& address, const options& settings)
{
    const auto colon = address.rfind(':');
    member_record record;
    record.node = "remote-" + address;
    record.data_centre = "dc";
    record.ip = address.substr(0, colon);
    record.peer_port = static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)));
    record.state = member_state::alive;
    record.targets = {{"t0", "service", {}, settings.slots, target_state::ready}};
    return record;
}

routing_snapshot_ptr make_snapshot(const options& settings)
{
    effective_config config;
    config.version = 1;
    config.data_centre = "dc";
    config.services["service"].name = "service";
    auto& route = config.routes["route"];
    route.name = "route";
    route.service = "service";
    route.deadline = milliseconds{settings.deadline_ms};
    route.idempotent = settings.idempotent;
    member_view view;
    view.self = settings.name;
    member_record self;
    self.node = settings.name;
    self.data_centre = "dc";
    self.state = member_state::alive;
    self.targets = make_local_targets(settings);
    view.members[self.node] = {self, member_status::alive};
    for (const auto& address : settings.remotes) {
        const auto record = make_remote_node(address, settings);
        view.members[record.node] = {record, member_status::alive};
    }
    const auto snapshot = build_snapshot(config, view);
    return snapshot ? *snapshot : nullptr;
}

claim_port make_granting_claim_port()
{
    claim_port claims;
    claims.claim = [](const claim_request&) {
        return claim_result{claim_outcome::granted, {}, milliseconds{0}, {}};
    };
    claims.complete = [](const claim_request&, const stored_response&) {};
    claims.release = [](const claim_request&) {};
    return claims;
}

int run(const options& settings)
{
    set_up_log(log_level::warn);
    sigset_t signals{};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    metrics_registry metrics;
    const auto snapshot = make_snapshot(settings);
    proxy_settings proxy_options;
    proxy_options.node = settings.name;
    proxy_options.caller.address = settings.caller;
    proxy_options.peer.address = settings.peer;
    auto proxy = proxy_service::create(proxy_options, {[snapshot] { return snapshot; },
                                                       make_granting_claim_port(),
                                                       {},
                                                       {},
                                                       &metrics,
                                                       ring_tracer::create(100, false)});
    if (!proxy) {
        std::cerr << proxy.last_reason() << '\n';
        return EXIT_FAILURE;
    }
    (*proxy)->update_targets(make_local_targets(settings));
    std::cout << "caller " << (*proxy)->ports().caller << " peer " << (*proxy)->ports().peer << std::endl;
    int received{};
    sigwait(&signals, &received);
    (*proxy)->drain();
    constexpr milliseconds stop_timeout{10'000};
    const auto is_finished = (*proxy)->stop(stop_timeout);
    std::cout << metrics.exposition();
    return is_finished ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace
} // namespace static_proxy

int main(int argc, char** argv)
{
    return static_proxy::run(static_proxy::parse_options(argc, argv));
}
