#ifndef KUMQUATDRIFT_DISTRIBUTION_LOG_WORKER_HPP
#define KUMQUATDRIFT_DISTRIBUTION_LOG_WORKER_HPP

#include <cstddef>
#include <string>
#include <thread>

#include "distribution/events.hpp"

namespace kumquatdrift::internal {

/*! @brief Runs the operations on the log, which block, for the `config` thread. */
class log_worker {
public:
    /**
     * @brief Starts the `log tail` thread.
     * @param port Port to the log.
     * @param results Ring to the `config` thread.
     */
    log_worker(log_port port, config_ring results);

    /*! @brief Stops the thread after the operation in progress. */
    ~log_worker();

    log_worker(const log_worker&) = delete;
    log_worker(log_worker&&) = delete;
    log_worker& operator=(const log_worker&) = delete;
    log_worker& operator=(log_worker&&) = delete;

    /**
     * @brief Reads records.
     * @param from First offset.
     * @param wait Longest wait for the first record.
     * @return False if too many operations wait.
     */
    [[nodiscard]] bool read(log_offset from, milliseconds wait);

    /**
     * @brief Reads all retained records.
     * @return False if too many operations wait.
     */
    [[nodiscard]] bool read_all();

    /**
     * @brief Appends a checkpoint.
     * @param payload Text of the record.
     * @return False if too many operations wait.
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
    config_ring ring;
    bounded_ring<task> tasks;
    std::thread thread{};
};

} // namespace kumquatdrift::internal

#endif
