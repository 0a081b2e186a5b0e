#include <benchmark/benchmark.h>

#include <malloc.h>

#include <string>
#include <vector>

#include <membership/exchange.hpp>
#include <membership/peers.hpp>
#include <membership/table.hpp>

namespace kumquatdrift {
namespace {

constexpr std::size_t data_centres = 11;

member_record make_record(std::size_t index, std::uint64_t sequence)
{
    member_record record;
    record.node = "recife-centro-host-" + std::to_string(index);
    record.data_centre = "data-centre-" + std::to_string(index % data_centres);
    record.start_time = 1'790'000'000'000'000 + index;
    record.sequence = sequence;
    record.ip = "10.112.13." + std::to_string(index % 250);
    record.gossip_port = static_cast<std::uint16_t>(index + 1);
    record.state = member_state::alive;
    record.version = sequence;
    record.targets = {{"queue-board-1", "queue-board", "", 10, target_state::ready}};
    return record;
}

struct member_fixture {
    explicit member_fixture(std::size_t members)
    {
        this->state = *make_membership_state({}, make_record(0, 1), this->now);
        std::vector<member_record> records;
        for (std::size_t index = 1; index < members; ++index) {
            records.push_back(make_record(index, 1));
        }
        merge_records(this->state, records, this->now);
    }

    // A ping from a member of the same data centre, with 60 version changes, which is as many as fit.
    std::string make_datagram(std::uint64_t sequence)
    {
        wire::gossip message;
        message.set_format(internal::wire_format);
        message.set_kind(static_cast<std::uint32_t>(internal::datagram_kind::ping));
        message.set_sender(internal::identity_of(make_record(data_centres, 1).node,
                                                 make_record(data_centres, 1).start_time));
        auto& versions = *message.mutable_changes()->mutable_versions();
        for (std::size_t change = 0; change < 60; ++change) {
            this->position = this->position % (this->state.members.size() - 1) + 1;
            const auto record = make_record(this->position, 1);
            versions.add_identities(internal::identity_of(record.node, record.start_time));
            versions.add_sequences(sequence);
            versions.add_changes(static_cast<std::uint32_t>(sequence - 1));
            versions.add_versions(sequence);
        }
        return message.SerializeAsString();
    }

    timestamp now{milliseconds{1'000}};
    random_engine rng{1};
    membership_state state{};
    std::size_t position{};
};

// One iteration is one second, or 20 ticks. Each probe counts as acknowledged, so that no member becomes
// suspect.
void second_of_ticks(benchmark::State& run)
{
    member_fixture subject{static_cast<std::size_t>(run.range(0))};
    for (auto _ : run) {
        for (int tick = 0; tick < 20; ++tick) {
            subject.now += milliseconds{50};
            benchmark::DoNotOptimize(on_tick(subject.state, subject.now, subject.rng));
            subject.state.detector.current.reset();
            for (auto& data_centre : subject.state.data_centres) {
                data_centre.last_heartbeat = subject.now;
            }
        }
    }
}

// One iteration is one datagram with 60 version changes. A node receives two to four datagrams per second.
void datagram_with_version_changes(benchmark::State& run)
{
    member_fixture subject{static_cast<std::size_t>(run.range(0))};
    std::uint64_t sequence = 2;
    for (auto _ : run) {
        run.PauseTiming();
        const auto bytes = subject.make_datagram(++sequence);
        subject.now += milliseconds{50};
        run.ResumeTiming();
        benchmark::DoNotOptimize(
            on_datagram(subject.state, {{"10.112.13.11", 12}, bytes}, subject.now, subject.rng));
    }
}

// One iteration is one ping without changes and its ack.
void ping_and_ack(benchmark::State& run)
{
    member_fixture subject{static_cast<std::size_t>(run.range(0))};
    wire::gossip message;
    message.set_format(internal::wire_format);
    message.set_kind(static_cast<std::uint32_t>(internal::datagram_kind::ping));
    const auto sender = make_record(data_centres, 1);
    message.set_sender(internal::identity_of(sender.node, sender.start_time));
    const auto bytes = message.SerializeAsString();
    for (auto _ : run) {
        benchmark::DoNotOptimize(
            on_datagram(subject.state, {{"10.112.13.11", 12}, bytes}, subject.now, subject.rng));
    }
}

// One iteration rebuilds the cached peers and relays, as each change of the status of a member does.
void refresh(benchmark::State& run)
{
    member_fixture subject{static_cast<std::size_t>(run.range(0))};
    for (auto _ : run) {
        subject.state.peers.stale = true;
        internal::refresh_peers(subject.state);
    }
}

// A node creates at most four views per second while endpoints change, and one while only versions change.
void view(benchmark::State& run)
{
    const member_fixture subject{static_cast<std::size_t>(run.range(0))};
    for (auto _ : run) {
        benchmark::DoNotOptimize(view_of(subject.state));
    }
}

// A node starts or responds to two synchronisations, each with a digest, in ten seconds.
void digests(benchmark::State& run)
{
    const member_fixture subject{static_cast<std::size_t>(run.range(0))};
    for (auto _ : run) {
        benchmark::DoNotOptimize(digest_of(subject.state, subject.now));
    }
}

// Heap bytes of a table and of a view; only the counters matter, not the time.
void memory(benchmark::State& run)
{
    const auto members = static_cast<std::size_t>(run.range(0));
    for (auto _ : run) {
        const auto before = mallinfo2().uordblks;
        const member_fixture subject{members};
        const auto table = mallinfo2().uordblks;
        const auto copy = view_of(subject.state);
        const auto both = mallinfo2().uordblks;
        run.counters["table_bytes_per_member"] =
            static_cast<double>(table - before) / static_cast<double>(members);
        run.counters["view_bytes_per_member"] =
            static_cast<double>(both - table) / static_cast<double>(members);
    }
}

BENCHMARK(second_of_ticks)->Arg(200)->Arg(2'400)->Unit(benchmark::kMicrosecond);
BENCHMARK(datagram_with_version_changes)->Arg(200)->Arg(2'400)->Unit(benchmark::kMicrosecond);
BENCHMARK(ping_and_ack)->Arg(200)->Arg(2'400)->Unit(benchmark::kMicrosecond);
BENCHMARK(refresh)->Arg(200)->Arg(2'400)->Unit(benchmark::kMicrosecond);
BENCHMARK(view)->Arg(200)->Arg(2'400)->Unit(benchmark::kMicrosecond);
BENCHMARK(digests)->Arg(200)->Arg(2'400)->Unit(benchmark::kMicrosecond);
BENCHMARK(memory)->Arg(200)->Arg(2'400)->Iterations(1)->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace kumquatdrift

BENCHMARK_MAIN();
