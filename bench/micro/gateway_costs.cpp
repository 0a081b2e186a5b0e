#include <cstdint>
#include <string>
#include <vector>

#include <fcntl.h>
#include <unistd.h>

#include <benchmark/benchmark.h>

#include <kumquatdrift/core/random.hpp>
#include <kumquatdrift/mesh/document_delta.hpp>
#include <kumquatdrift/mesh/route_index.hpp>
#include <kumquatdrift/telemetry/event_log.hpp>
#include <kumquatdrift/traffic/placement.hpp>
#include <kumquatdrift/traffic/run_queue.hpp>

#include <gateway/hop_codec.hpp>
#include <platform/decode.hpp>
#include <support/config_documents.hpp>

// Processor time of single duties of a gateway node, without sockets and system calls.
namespace kumquatdrift {
namespace {

constexpr timestamp now{std::chrono::seconds{100}};

void version_full(benchmark::State& state)
{
    const auto document = config_document(8, static_cast<std::size_t>(state.range(0)));
    for (auto each : state) {
        const route_index index{*platform::decode_config(document)};
        benchmark::DoNotOptimize(index.config().version);
    }
}

void version_one_route(benchmark::State& state)
{
    const auto routes = static_cast<std::size_t>(state.range(0));
    const auto before = config_document(7, routes);
    const auto known = *platform::decode_config(before);
    const auto difference = *compress_document(config_document(8, routes, routes / 2), before);
    for (auto each : state) {
        const auto document = *decompress_document(difference, before);
        const route_index index{*platform::decode_config(document, known.get())};
        benchmark::DoNotOptimize(index.config().version);
    }
}

void difference_of_one_route(benchmark::State& state)
{
    const auto routes = static_cast<std::size_t>(state.range(0));
    const auto before = config_document(7, routes);
    const auto after = config_document(8, routes, routes / 2);
    for (auto each : state) {
        benchmark::DoNotOptimize(compress_document(after, before));
    }
}

std::vector<placement_candidate> make_candidates(std::int64_t count, std::uint32_t queued)
{
    constexpr std::uint32_t slots = 15;
    std::vector<placement_candidate> candidates{};
    for (std::int64_t index = 0; index < count; ++index) {
        candidates.push_back({"node", {slots, queued, slots, milliseconds{480}}});
        candidates.back().same_data_centre = index % 5 == 0;
    }
    return candidates;
}

void place(benchmark::State& state, std::uint32_t queued)
{
    const auto candidates = make_candidates(state.range(0), queued);
    random_engine rng{1};
    const placement_times times{milliseconds{1'500}, milliseconds{1'500}, milliseconds{10'000},
                                milliseconds{480}, 0};
    for (auto each : state) {
        benchmark::DoNotOptimize(place_request(candidates, times, {}, rng));
    }
}

void request_placed(benchmark::State& state)
{
    place(state, 2);
}

void request_refused(benchmark::State& state)
{
    place(state, 1'000);
}

void request_queued_and_run(benchmark::State& state)
{
    run_queue queue{};
    queue.set_slots(1);
    std::uint64_t id{};
    (void)queue.offer({++id, 1, false, now + milliseconds{1'500}, now + milliseconds{10'000}}, now);
    for (auto each : state) {
        (void)queue.offer({id + 1, 1, false, now + milliseconds{1'500}, now + milliseconds{10'000}}, now);
        queue.finish(id++, true, now + milliseconds{1});
        benchmark::DoNotOptimize(queue.start_next(now));
    }
}

void request_frame(benchmark::State& state)
{
    target_request request{};
    request.service = "desk";
    request.attempt_id = "9c41d07be2a35f68";
    request.method = "GET";
    request.request_target = "/lohu930/2f";
    request.header_lines = "Host: ficu95.example\r\nX-Kumquatdrift-Attempt-Id: 9c41d07be2a35f68\r\n";
    request.deadline = now + milliseconds{10'000};
    request.objective = now + milliseconds{1'500};
    for (auto each : state) {
        hop::Frame sent{};
        encode(request, now, *sent.mutable_run());
        hop::Frame received{};
        received.ParseFromString(sent.SerializeAsString());
        benchmark::DoNotOptimize(decode(*received.mutable_run(), now));
    }
}

// One frame of each of the other nodes; a node exchanges as many in each ping interval.
void states_of_all_nodes(benchmark::State& state)
{
    member_record record{};
    record.node = "sidecar-alfama-1";
    record.data_centre = "alfama";
    record.ip = "10.1.0.38";
    record.service = "desk";
    record.instance = "i-7f3a91c2";
    for (auto each : state) {
        for (std::int64_t node = 0; node < state.range(0); ++node) {
            hop::Member sent{};
            encode(record, sent);
            hop::Member received{};
            received.ParseFromString(sent.SerializeAsString());
            benchmark::DoNotOptimize(decode(received));
        }
    }
}

void log_line(benchmark::State& state)
{
    const auto descriptor = open("/dev/null", O_WRONLY | O_CLOEXEC);
    event_log log{descriptor, log_level::info};
    for (auto each : state) {
        log.write(log_level::info, event_class::state, "target", "run_ended", "id={} end={} running={}",
                  "9c41d07be2a35f68", "refused", 15);
        log.flush();
    }
    close(descriptor);
}

BENCHMARK(version_full)->Arg(200)->Arg(1'200)->Arg(2'800);
BENCHMARK(version_one_route)->Arg(200)->Arg(1'200)->Arg(2'800);
BENCHMARK(difference_of_one_route)->Arg(200)->Arg(1'200)->Arg(2'800);
BENCHMARK(request_placed)->Arg(13)->Arg(90)->Arg(300);
BENCHMARK(request_refused)->Arg(13)->Arg(90)->Arg(300);
BENCHMARK(request_queued_and_run);
BENCHMARK(request_frame);
BENCHMARK(states_of_all_nodes)->Arg(13)->Arg(90)->Arg(300);
BENCHMARK(log_line);

} // namespace
} // namespace kumquatdrift

BENCHMARK_MAIN();
