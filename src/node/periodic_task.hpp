#ifndef KUMQUATDRIFT_NODE_PERIODIC_TASK_HPP
#define KUMQUATDRIFT_NODE_PERIODIC_TASK_HPP

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include <kumquatdrift/core/time.hpp>

namespace kumquatdrift::internal {

/*! @brief Thread that calls a function repeatedly, with a fixed pause between calls. */
class periodic_task {
public:
    /**
     * @brief Starts the thread.
     * @param task_interval Time between the end of a call and the start of the next one, also before the
     * first call.
     * @param function Function to call; must not throw.
     */
    periodic_task(milliseconds task_interval, std::function<void()> function);

    /*! @brief Stops the thread. Blocks until a call in progress returns. */
    ~periodic_task();

    periodic_task(const periodic_task&) = delete;
    periodic_task(periodic_task&&) = delete;
    periodic_task& operator=(const periodic_task&) = delete;
    periodic_task& operator=(periodic_task&&) = delete;

private:
    void run();

    milliseconds interval;
    std::function<void()> task;
    std::mutex mutex{};
    std::condition_variable stop_requested{};
    bool stopping{};
    std::thread thread{};
};

} // namespace kumquatdrift::internal

#endif
