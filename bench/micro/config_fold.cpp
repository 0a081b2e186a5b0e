#include <string>
#include <vector>

#include <benchmark/benchmark.h>

#include <kumquatdrift/config/fold.hpp>
#include <kumquatdrift/config/records.hpp>
#include <kumquatdrift/config/recovery.hpp>

namespace {

using namespace kumquatdrift;

/*! @brief Size of the configuration that is expected in two years (design page, section 1.5). */
constexpr int service_count = 150;
constexpr int routes_per_service = 2;
constexpr int data_centre_count = 11;

std::string make_base(int queue_limit)
{
    std::string services;
    std::string routes;
    for (int service = 0; service < service_count; ++service) {
        const auto name = "service-" + std::to_string(service);
        services += (service == 0 ? "\"" : ",\"") + name + R"(":{"queue_limit":)" +
                    std::to_string(queue_limit) + R"(,"slow_start_ms":5000,"spill_over":true})";
        for (int route = 0; route < routes_per_service; ++route) {
            const auto path = name + "/" + std::to_string(route);
            routes += (service + route == 0 ? "\"" : ",\"") + name + "-" + std::to_string(route) +
                      R"(":{"host":"mesh.example.org","path_prefix":"/)" + path +
                      R"(","methods":["GET","POST"],)" + R"("service":")" + name +
                      R"(","deadline_ms":1500,"idempotent":true,)" +
                      R"("idempotency_key_header":"Idempotency-Key","on_log_outage":"refuse",)" +
                      R"("retry":{"max_attempts":3,"budget_percent":20},"limits":{"max_body_bytes":65536}})";
        }
    }
    return R"({"services":{)" + services + R"(},"routes":{)" + routes + "}}";
}

std::string make_overlay(int queue_limit)
{
    return R"({"services":{"service-1":{"queue_limit":)" + std::to_string(queue_limit) +
           R"(}},"routes":{"service-2-0":{"deadline_ms":900},"service-3-1":null}})";
}

json_document parse(const std::string& text)
{
    return *json_document::parse(text);
}

/*! @brief Returns a state with the base and the overlays of all data centres. */
config_state make_state()
{
    config_state state;
    const auto add = [&](const std::string& document, const std::string& content) {
        const edit_record edit{.document = document,
                               .edit_id = document.substr(document.find('/') + 1),
                               .content = parse(content)};
        if (fold(state, {state.next_offset, make_edit_record(edit)}).kind != outcome_kind::accepted) {
            std::abort();
        }
    };
    add("base", make_base(40));
    for (int data_centre = 0; data_centre < data_centre_count; ++data_centre) {
        add(overlay_name("dc-" + std::to_string(data_centre)), make_overlay(data_centre));
    }
    return state;
}

/*! @brief Folds a sequence of edits of one document, all of which are accepted. */
void fold_edits(benchmark::State& run, const std::string& document,
                const std::vector<json_document>& contents, bool patch)
{
    auto state = make_state();
    int number = 0;
    std::size_t bytes = 0;
    for (auto _ : run) {
        run.PauseTiming();
        edit_record edit{.document = document,
                         .parent = find_document(state, document)->offset,
                         .edit_id = "n" + std::to_string(++number)};
        (patch ? edit.patch : edit.content) = contents[static_cast<std::size_t>(number) % contents.size()];
        const log_record record{state.next_offset, make_edit_record(edit)};
        bytes = record.payload.size();
        run.ResumeTiming();
        if (fold(state, record).kind != outcome_kind::accepted) {
            run.SkipWithError("an edit was not accepted");
        }
    }
    run.counters["fold_edits"] =
        benchmark::Counter{static_cast<double>(run.iterations()), benchmark::Counter::kIsRate};
    run.counters["record_bytes"] = static_cast<double>(bytes);
}

void base_content(benchmark::State& run)
{
    fold_edits(run, "base", {parse(make_base(41)), parse(make_base(42))}, false);
}
BENCHMARK(base_content)->Unit(benchmark::kMicrosecond);

void base_patch(benchmark::State& run)
{
    fold_edits(run, "base",
               {parse(R"({"services":{"service-7":{"queue_limit":41}}})"),
                parse(R"({"services":{"service-7":{"queue_limit":42}}})")},
               true);
}
BENCHMARK(base_patch)->Unit(benchmark::kMicrosecond);

void overlay_content(benchmark::State& run)
{
    fold_edits(run, "overlay/dc-0", {parse(make_overlay(41)), parse(make_overlay(42))}, false);
}
BENCHMARK(overlay_content)->Unit(benchmark::kMicrosecond);

void checkpoint_load(benchmark::State& run)
{
    const auto payload = make_checkpoint_record(make_state());
    for (auto _ : run) {
        benchmark::DoNotOptimize(load_checkpoint(payload));
    }
    run.counters["record_bytes"] = static_cast<double>(payload.size());
}
BENCHMARK(checkpoint_load)->Unit(benchmark::kMicrosecond);

void merge(benchmark::State& run)
{
    const auto state = make_state();
    for (auto _ : run) {
        benchmark::DoNotOptimize(merge_effective(state, "dc-3"));
    }
}
BENCHMARK(merge)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
