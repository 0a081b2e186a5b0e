#include <algorithm>
#include <atomic>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <grpcpp/grpcpp.h>
#include <tclap/CmdLine.h>

#include <kumquatdrift/claims/service.hpp>
#include <kumquatdrift/log/http.hpp>

// Measures the claim throughput and the claim latency of three nodes on loopback that share one log. With
// --unbatched, the baseline, each claim is written to the log by an append of its own.

namespace kumquatdrift {
namespace {

struct bench_options {
    std::string log{};
    std::size_t callers{};
    double seconds{};
    milliseconds deadline{};
    bool unbatched{};
};

struct bench_node {
    int control_port{};
    std::unique_ptr<claim_service> service{};
    std::unique_ptr<grpc::Server> server{};
};

struct bench_counts {
    std::atomic<std::uint64_t> granted{};
    std::atomic<std::uint64_t> unavailable{};
};

using bench_nodes = std::vector<std::unique_ptr<bench_node>>;

claim_service_settings settings_for(const bench_options& options)
{
    claim_service_settings settings;
    if (options.unbatched) {
        settings.limits.max_batch_entries = 1;
        settings.limits.min_batch_wait = microseconds{0};
        settings.limits.max_batch_wait = microseconds{0};
        settings.limits.appends_per_second = 1e6;
        settings.limits.append_burst = 1e6;
    }
    return settings;
}

std::unique_ptr<bench_node> start_node(const bench_options& options, const std::string& name,
                                       claim_service::view_function view)
{
    auto port = make_http_log_port({.url = options.log, .max_idle_connections = 8});
    if (!port) {
        throw std::runtime_error{port.last_reason()};
    }
    auto service = claim_service::create(*port, name, std::move(view), settings_for(options));
    if (!service) {
        throw std::runtime_error{service.last_reason()};
    }
    auto node = std::make_unique<bench_node>();
    node->service = std::move(*service);
    grpc::ServerBuilder builder;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &node->control_port);
    builder.RegisterService(&node->service->grpc_service());
    node->server = builder.BuildAndStart();
    return node;
}

member_view_ptr make_view(const bench_nodes& nodes)
{
    auto view = std::make_shared<member_view>();
    view->generation = 1;
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        member_record record;
        record.node = "n" + std::to_string(index);
        record.ip = "127.0.0.1";
        record.control_port = static_cast<std::uint16_t>(nodes[index]->control_port);
        record.state = member_state::alive;
        view->members[record.node] = {record, member_status::alive};
    }
    return view;
}

void run_caller(const bench_options& options, bench_node& node, std::size_t caller, timestamp end,
                bench_counts& counts, std::vector<std::int64_t>& latencies)
{
    const auto port = node.service->port();
    for (std::uint64_t index = 0; steady_now() < end; ++index) {
        const auto id = std::to_string(caller) + '-' + std::to_string(index);
        const auto start = steady_now();
        const auto response = port.claim({"reserve", "key-" + id, "attempt-" + id, start + options.deadline});
        if (response.outcome == claim_outcome::granted) {
            ++counts.granted;
            latencies.push_back((steady_now() - start).count());
        }
        else {
            ++counts.unavailable;
        }
    }
}

void report(const bench_options& options, const bench_nodes& nodes, const bench_counts& counts,
            std::vector<std::int64_t> latencies)
{
    std::uint64_t appends = 0;
    for (const auto& node : nodes) {
        appends += node->service->status().counters.appends;
    }
    std::sort(latencies.begin(), latencies.end());
    const auto quantile_ms = [&](double fraction) {
        const auto last = static_cast<double>(latencies.size()) - 1.0;
        return latencies.empty()
                   ? 0.0
                   : static_cast<double>(latencies[static_cast<std::size_t>(fraction * last)]) / 1e3;
    };
    std::cout << (options.unbatched ? "one append per claim" : "batched") << ": callers " << options.callers
              << ", granted/s "
              << static_cast<std::uint64_t>(static_cast<double>(counts.granted) / options.seconds)
              << ", unavailable " << counts.unavailable << ", appends/s "
              << static_cast<std::uint64_t>(static_cast<double>(appends) / options.seconds) << ", p50 ms "
              << quantile_ms(0.5) << ", p99 ms " << quantile_ms(0.99) << '\n';
}

void run_bench(const bench_options& options)
{
    constexpr std::size_t node_count = 3;
    bench_nodes nodes;
    std::atomic<bool> ready{};
    member_view_ptr view;
    const auto current = [&] { return ready ? view : std::make_shared<const member_view>(); };
    for (std::size_t index = 0; index < node_count; ++index) {
        nodes.push_back(start_node(options, "n" + std::to_string(index), current));
    }
    view = make_view(nodes);
    ready = true;
    bench_counts counts;
    std::vector<std::vector<std::int64_t>> latencies(options.callers);
    std::vector<std::thread> callers;
    callers.reserve(options.callers);
    const auto end = steady_now() + microseconds{static_cast<std::int64_t>(options.seconds * 1e6)};
    for (std::size_t index = 0; index < options.callers; ++index) {
        callers.emplace_back([&, index] {
            run_caller(options, *nodes[index % node_count], index, end, counts, latencies[index]);
        });
    }
    for (auto& caller : callers) {
        caller.join();
    }
    std::vector<std::int64_t> all_latencies;
    for (const auto& caller_latencies : latencies) {
        all_latencies.insert(all_latencies.end(), caller_latencies.begin(), caller_latencies.end());
    }
    report(options, nodes, counts, std::move(all_latencies));
    for (const auto& node : nodes) {
        node->service->stop();
        node->server->Shutdown();
    }
}

} // namespace
} // namespace kumquatdrift

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine command{"Measures claims through a log.", ' ', "1"};
        TCLAP::ValueArg<std::string> log{"",        "log",  "Address of the log, IP:PORT.", true, "",
                                         "IP:PORT", command};
        TCLAP::ValueArg<std::size_t> callers{"", "callers", "Concurrent callers.", false, 64, "N", command};
        TCLAP::ValueArg<double> seconds{"", "seconds", "Duration.", false, 10.0, "S", command};
        TCLAP::ValueArg<std::int64_t> deadline{"",   "deadline-ms", "Deadline of a claim.", false, 2'000,
                                               "MS", command};
        TCLAP::SwitchArg unbatched{"", "unbatched", "One append per claim.", command};
        command.parse(argc, argv);
        kumquatdrift::run_bench({log.getValue(), callers.getValue(), seconds.getValue(),
                                 kumquatdrift::milliseconds{deadline.getValue()}, unbatched.getValue()});
        return 0;
    }
    catch (const std::exception& error) {
        std::cerr << "claim_bench: " << error.what() << '\n';
        return 1;
    }
}
