#ifndef KUMQUATDRIFT_GATEWAY_LOOP_HPP
#define KUMQUATDRIFT_GATEWAY_LOOP_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <kumquatdrift/core/boot_clock.hpp>
#include <kumquatdrift/core/time.hpp>

#include "byte_account.hpp"

namespace kumquatdrift {

/*! @brief Single-threaded event loop; its timers use the boot clock, which advances during suspensions. */
class event_loop {
public:
    /*! @brief Resolution of timers: well below the shortest timeout; costs 33 wake-ups per second when idle.
     */
    static constexpr milliseconds tick_interval{30};

    /*! @brief Time between two ticks above which the process is taken to have been suspended or starved. */
    static constexpr milliseconds suspension_gap{1'000};

    /*! @brief Identifies a timer; 0 means none. */
    using timer_id = std::uint64_t;

    event_loop();

    /*! @brief Returns the I/O context for sockets. */
    [[nodiscard]] boost::asio::io_context& context() noexcept
    {
        return this->io;
    }

    /*! @brief Returns the account of the bytes that the connections on this loop hold. */
    [[nodiscard]] byte_account& memory() noexcept
    {
        return this->account;
    }

    /**
     * @brief Schedules a single call.
     * @param when Time of the call; the call may be up to one tick late.
     * @param function Function.
     * @return Id with which to cancel the call.
     */
    timer_id call_at(timestamp when, std::function<void()> function);

    /**
     * @brief Cancels a timer.
     * @param id Id; unknown ids are ignored.
     */
    void cancel(timer_id id);

    /**
     * @brief Scope in which one event is handled. Functions deferred in it run at its end, before the loop
     * polls for further events.
     */
    class turn {
    public:
        /**
         * @brief Opens a turn, or nests in the one that is open.
         * @param loop Event loop.
         */
        explicit turn(event_loop& loop) noexcept : owner{loop}
        {
            ++this->owner.turn_depth;
        }
        ~turn();
        turn(const turn&) = delete;
        turn& operator=(const turn&) = delete;

    private:
        event_loop& owner;
    };

    /**
     * @brief Calls a function at the end of the current turn, or from the loop if there is none; never from
     * within this call.
     * @param function Function.
     */
    void defer(std::function<void()> function);

    /**
     * @brief Registers a function to call on each tick.
     * @param function Receives the current time.
     */
    void on_tick(std::function<void(timestamp)> function);

    /**
     * @brief Registers a function to call after a suspension.
     * @param function Receives the length of the suspension.
     */
    void on_suspension(std::function<void(microseconds)> function);

    /*! @brief Runs the loop until `stop` is called. */
    void run();

    /*! @brief Makes `run` return. */
    void stop();

private:
    void schedule_tick();
    void tick();

    /*! @brief Outlives the connections of pending operations, which `io` owns. */
    byte_account account{};
    boost::asio::io_context io{1};
    boost::asio::steady_timer tick_timer{this->io};
    /*! @brief Ids of the timers in the order of their times. */
    std::multimap<timestamp, timer_id> timer_queue{};
    std::unordered_map<timer_id, std::pair<timestamp, std::function<void()>>> timers{};
    /*! @brief Functions to call at the end of the outermost turn. */
    std::vector<std::function<void()>> deferred{};
    std::size_t turn_depth{};
    std::vector<std::function<void(timestamp)>> tick_handlers{};
    std::vector<std::function<void(microseconds)>> suspension_handlers{};
    timer_id last_id{};
    timestamp last_tick{boot_now()};
};

} // namespace kumquatdrift

#endif
