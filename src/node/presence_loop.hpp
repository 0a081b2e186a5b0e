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

/*! @brief `presence` thread: reads addresses for first contact from the log and appends the address of this
 * node to it. */
class presence_loop {
public:
    /**
     * @brief Starts the thread.
     * @param port Port to the log.
     * @param node_membership Membership of this node; must outlive the loop.
     */
    presence_loop(log_port port, membership_service& node_membership);

    /*! @brief Stops the thread. Blocks until a call to the log in progress returns. */
    ~presence_loop();

    presence_loop(const presence_loop&) = delete;
    presence_loop(presence_loop&&) = delete;
    presence_loop& operator=(const presence_loop&) = delete;
    presence_loop& operator=(presence_loop&&) = delete;

private:
    void run();
    /*! @brief Adds contacts from the latest presence records. Returns false if the log failed. */
    bool add_contacts_from_log();
    /*! @brief Waits for the delay. Returns false if the loop must stop. */
    bool wait(microseconds delay);

    log_port log;
    membership_service& membership;
    random_engine rng{std::random_device{}()};
    std::mutex mutex{};
    std::condition_variable stop_requested{};
    bool stopping{};
    std::thread thread{};
};

} // namespace kumquatdrift::internal

#endif
