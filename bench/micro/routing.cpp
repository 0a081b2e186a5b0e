#include <benchmark/benchmark.h>

#include <cstdint>
#include <memory>
#include <span>
#include <string>

#include <kumquatdrift/routing/choose.hpp>
#include <kumquatdrift/routing/holder.hpp>
#include <kumquatdrift/routing/match.hpp>
#include <kumquatdrift/traffic/admission.hpp>
#include <kumquatdrift/traffic/quarantine.hpp>

namespace kumquatdrift {
namespace {

// Sizes that the design page expects: 2,400 targets in 150 services and 11 data centres.
constexpr std::uint32_t service_count = 150;
constexpr std::uint32_t target_count = 2'400;
constexpr std::uint32_t data_centre_count = 11;
constexpr std::uint32_t routes_per_service = 3;

effective_config make_large_config()
{
    effective_config config{.version = 1, .data_centre = "dc0", .services = {}, .routes = {}};
    for (std::uint32_t number = 0; number < service_count; ++number) {
        const auto service = "service-" + std::to_string(number);
        config.services[service].name = service;
        for (std::uint32_t part = 0; part < routes_per_service; ++part) {
            const auto name = service + '-' + std::to_string(part);
            auto& route = config.routes[name];
            route.name = name;
            route.host = service + ".mesh.example";
            route.path_prefix = "/api/v" + std::to_string(part);
            route.methods = {"GET", "POST"};
            route.service = service;
        }
    }
    return config;
}

member_view make_large_view(std::uint64_t generation)
{
    member_view view{.self = "node-0", .generation = generation, .synchronisations = 1, .members = {}};
    for (std::uint32_t number = 0; number < target_count; ++number) {
        const auto name = "node-" + std::to_string(number);
        auto& record = view.members[name].record;
        record.node = name;
        record.data_centre = "dc" + std::to_string(number % data_centre_count);
        record.state = member_state::alive;
        record.ip = "10.0.0.1";
        record.targets.push_back({.id = "target",
                                  .service = "service-" + std::to_string(number % service_count),
                                  .address = "10.0.0.1:80",
                                  .slots = 20,
                                  .state = target_state::ready});
    }
    return view;
}

void snapshot_build(benchmark::State& state)
{
    const auto config = make_large_config();
    const auto view = make_large_view(1);
    for (auto step : state) {
        benchmark::DoNotOptimize(build_snapshot(config, view));
    }
}
BENCHMARK(snapshot_build)->Unit(benchmark::kMicrosecond);

void snapshot_on_view_change(benchmark::State& state)
{
    const timestamp now{milliseconds{1}};
    snapshot_holder holder{milliseconds{0}};
    auto view = std::make_shared<member_view>(make_large_view(1));
    holder.offer_view(view, now);
    holder.offer_config(std::make_shared<effective_config>(make_large_config()), now);
    for (auto step : state) {
        state.PauseTiming();
        view = std::make_shared<member_view>(*view);
        ++view->generation;
        ++view->endpoint_generation;
        state.ResumeTiming();
        benchmark::DoNotOptimize(holder.offer_view(view, now));
    }
}
BENCHMARK(snapshot_on_view_change)->Unit(benchmark::kMicrosecond);

void load_table_retain(benchmark::State& state)
{
    const auto snapshot = *build_snapshot(make_large_config(), make_large_view(1)).value();
    load_table loads{};
    const timestamp now{milliseconds{1}};
    for (auto step : state) {
        loads.update_endpoints(*snapshot, now);
    }
}
BENCHMARK(load_table_retain)->Unit(benchmark::kMicrosecond);

// Worst case: the host of the last route, so that all other routes with an exact host are compared first.
void match(benchmark::State& state)
{
    const auto snapshot = *build_snapshot(make_large_config(), make_large_view(1)).value();
    const auto host = snapshot->routes.back().config.host + ":8080";
    for (auto step : state) {
        benchmark::DoNotOptimize(match_route(*snapshot, host, "/api/v0/gowns/17?size=40", "GET"));
    }
}
BENCHMARK(match);

void choose(benchmark::State& state)
{
    const auto snapshot = *build_snapshot(make_large_config(), make_large_view(1)).value();
    load_table loads{};
    const timestamp now{milliseconds{1}};
    loads.update_endpoints(*snapshot, now);
    random_engine rng{1};
    const auto& service = snapshot->services[0];
    if (state.range(0) > 0) {
        for (const auto& candidate : service.endpoints) {
            loads.on_response(candidate, load_report{20, 4, 20}, now);
        }
    }
    for (auto step : state) {
        benchmark::DoNotOptimize(choose_endpoint(service, loads, {}, now, rng));
    }
}
BENCHMARK(choose)->ArgName("all_full")->Arg(0)->Arg(1);

void send_and_answer(benchmark::State& state)
{
    const auto snapshot = *build_snapshot(make_large_config(), make_large_view(1)).value();
    load_table loads{};
    const timestamp now{milliseconds{1}};
    loads.update_endpoints(*snapshot, now);
    const auto& used = snapshot->services[0].endpoints[0];
    for (auto step : state) {
        loads.on_sent(used.key, now);
        loads.on_response(used, parse_load("3/0/20"), now);
        loads.on_done(used.key);
    }
}
BENCHMARK(send_and_answer);

void admit_and_finish(benchmark::State& state)
{
    const timestamp now{milliseconds{1}};
    admission control{{.slots = 20, .queue_limit = 32}, now};
    request_id id = 0;
    for (auto step : state) {
        ++id;
        benchmark::DoNotOptimize(control.offer({id, now + milliseconds{2'000}, id}, now));
        benchmark::DoNotOptimize(control.finish(id, run_outcome::answered, now));
    }
}
BENCHMARK(admit_and_finish);

// The table of suspects is full of other fingerprints.
void quarantine_check(benchmark::State& state)
{
    const timestamp now{milliseconds{1}};
    crash_quarantine quarantine{};
    for (std::uint64_t other = 1; other <= quarantine_settings{}.max_fingerprints; ++other) {
        quarantine.on_target_crashed(std::span{&other, 1}, "node-" + std::to_string(other) + "/target", now);
    }
    for (auto step : state) {
        benchmark::DoNotOptimize(quarantine.check(0, "node-0/target", now));
        quarantine.on_success(0, "node-0/target", now);
    }
}
BENCHMARK(quarantine_check);

} // namespace
} // namespace kumquatdrift

BENCHMARK_MAIN();
