#ifndef KUMQUATDRIFT_DISTRIBUTION_LOG_WORKER_HPP
#define KUMQUATDRIFT_DISTRIBUTION_LOG_WORKER_HPP

#include <cstddef>
#include <string>
#include <thread>

#include "distribution/events.hpp"

namespace kumquatdrift::internal {

/*! @brief Runs blocking log operations on its own thread on behalf of the `config` thread. */
class log_worker {
public:
    /**
     * @brief Starts the `log tail` thread.
     * @param port Access to the log.
     * @param results Event queue of the `config` thread; receives the results.
     */
    log_worker(log_port port, config_event_queue results);

    /*! @brief Completes the operation in progress and stops the thread. */
    ~log_worker();

    log_worker(const log_worker&) = delete;
    log_worker(log_worker&&) = delete;
    log_worker& operator=(const log_worker&) = delete;
    log_worker& operator=(log_worker&&) = delete;

    /**
     * @brief Queues a read of records.
     * @param from First offset.
     * @param wait Longest time to wait for the first record.
     * @return False if the queue of operations is full.
     */
    [[nodiscard]] bool read(log_offset from, milliseconds wait);

    /**
     * @brief Queues a read of all retained records.
     * @return False if the queue of operations is full.
     */
    [[nodiscard]] bool read_all();

    /**
     * @brief Queues the append of a checkpoint.
     * @param payload Payload of the record.
     * @return False if the queue of operations is full.
     */
    [[nodiscard]] bool append(std::string payload);

private:
    enum class task_kind : std::uint8_t { read, read_all, append };

    struct task {
        task_kind kind{};
        log_offset from{};
        milliseconds wait{};
        std::string payload{};
    };

    void run();
    [[nodiscard]] config_event perform(task& next);

    log_port log;
    config_event_queue events;
    bounded_ring<task> tasks;
    std::thread thread{};
};

} // namespace kumquatdrift::internal

#endif
