#include "distribution/log_worker.hpp"

#include <kumquatdrift/log/read_retained.hpp>

namespace kumquatdrift::internal {
namespace {

constexpr std::size_t max_queued_tasks = 4;
constexpr std::size_t records_per_read = 500;
constexpr microseconds max_idle_wait{200'000};

} // namespace

log_worker::log_worker(log_port port, config_event_queue results)
    : log{std::move(port)}, events{std::move(results)}, tasks{max_queued_tasks}, thread{
                                                                                     [this] { this->run(); }}
{
}

log_worker::~log_worker()
{
    this->tasks.close();
    this->thread.join();
}

bool log_worker::read(log_offset from, milliseconds wait)
{
    return this->tasks.try_push({task_kind::read, from, wait, {}});
}

bool log_worker::read_all()
{
    return this->tasks.try_push({task_kind::read_all, 0, {}, {}});
}

bool log_worker::append(std::string payload)
{
    return this->tasks.try_push({task_kind::append, 0, {}, std::move(payload)});
}

void log_worker::run()
{
    while (!this->tasks.is_closed()) {
        auto next = this->tasks.pop(max_idle_wait);
        if (!next) {
            continue;
        }
        // Retries until the event queue has room: without this result, the `config` thread never starts
        // another read.
        auto done = this->perform(*next);
        // NOLINTNEXTLINE(bugprone-use-after-move): try_push moves from its argument only on success.
        while (!this->events->try_push(std::move(done)) && !this->events->is_closed()) {
            std::this_thread::sleep_for(milliseconds{1});
        }
    }
}

config_event log_worker::perform(task& next)
{
    switch (next.kind) {
    case task_kind::read:
        return log_read_done{this->log.read(config_stream, next.from, records_per_read, next.wait), false};
    case task_kind::read_all:
        return log_read_done{read_retained(this->log, config_stream), true};
    case task_kind::append:
        break;
    }
    return checkpoint_done{this->log.append(config_stream, std::move(next.payload))};
}

} // namespace kumquatdrift::internal
