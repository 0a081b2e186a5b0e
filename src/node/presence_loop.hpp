#ifndef KUMQUATDRIFT_NODE_PRESENCE_LOOP_HPP
#define KUMQUATDRIFT_NODE_PRESENCE_LOOP_HPP

#include <condition_variable>
#include <mutex>
#include <thread>

#include <kumquatdrift/core/random.hpp>
#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/log/port.hpp>
#include <kumquatdrift/membership/service.hpp>

namespace kumquatdrift::internal {

/*! @brief The `presence` thread: finds first contacts in the log and leaves this node's address there. */
class presence_loop {
public:
    /**
     * @brief Starts the thread.
     * @param log Port to the log.
     * @param membership Membership of this node; must outlive the loop.
     */
    presence_loop(log_port log, membership_service& membership);

    /*! @brief Stops the thread. Waits for a call to the log that is under way. */
    ~presence_loop();

    presence_loop(const presence_loop&) = delete;
    presence_loop(presence_loop&&) = delete;
    presence_loop& operator=(const presence_loop&) = delete;
    presence_loop& operator=(presence_loop&&) = delete;

private:
    void run();
    bool find_contacts();
    bool wait(microseconds delay);

    log_port log;
    membership_service& membership;
    random_engine rng{std::random_device{}()};
    std::mutex mutex{};
    std::condition_variable stopped{};
    bool stopping{};
    std::thread thread{};
};

} // namespace kumquatdrift::internal

#endif
