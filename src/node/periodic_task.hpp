#ifndef KUMQUATDRIFT_NODE_PERIODIC_TASK_HPP
#define KUMQUATDRIFT_NODE_PERIODIC_TASK_HPP

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

#include <kumquatdrift/core/time.hpp>

namespace kumquatdrift::internal {

/*! @brief A thread that calls a function at an interval. */
class periodic_task {
public:
    /**
     * @brief Starts the thread.
     * @param interval Time between the end of a call and the next one.
     * @param work The function; must not throw.
     */
    periodic_task(milliseconds interval, std::function<void()> work);

    /*! @brief Stops the thread after a call that is under way. */
    ~periodic_task();

    periodic_task(const periodic_task&) = delete;
    periodic_task(periodic_task&&) = delete;
    periodic_task& operator=(const periodic_task&) = delete;
    periodic_task& operator=(periodic_task&&) = delete;

private:
    void run();

    milliseconds interval;
    std::function<void()> work;
    std::mutex mutex{};
    std::condition_variable stopped{};
    bool stopping{};
    std::thread thread{};
};

} // namespace kumquatdrift::internal

#endif
