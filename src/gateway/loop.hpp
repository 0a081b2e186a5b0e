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

namespace kumquatdrift {

/*! @brief Event loop of one thread, with timers on the clock that counts suspensions. */
class event_loop {
public:
    /*! @brief Resolution of timers: well below the shortest time-out, and 33 wake-ups a second at rest. */
    static constexpr milliseconds tick_interval{30};

    /*! @brief Gap between two ticks above which the process must have been suspended or starved. */
    static constexpr milliseconds suspension_gap{1'000};

    /*! @brief Identifies a timer; 0 is none. */
    using timer_id = std::uint64_t;

    event_loop();

    /*! @brief Returns the context of the sockets. */
    [[nodiscard]] boost::asio::io_context& context() noexcept
    {
        return this->io;
    }

    /**
     * @brief Calls a function once.
     * @param when Time of the call; it may come one tick late.
     * @param function Function.
     * @return Id to cancel it with.
     */
    timer_id at(timestamp when, std::function<void()> function);

    /**
     * @brief Cancels a timer.
     * @param id Id; unknown ones are ignored.
     */
    void cancel(timer_id id);

    /**
     * @brief One event that the loop handles. What was deferred meanwhile runs at its end, without another
     * wait for events.
     */
    class turn {
    public:
        /**
         * @brief Begins a turn, or joins the one that runs.
         * @param loop Event loop.
         */
        explicit turn(event_loop& loop) noexcept : owner{loop}
        {
            ++this->owner.open_turns;
        }
        ~turn();
        turn(const turn&) = delete;
        turn& operator=(const turn&) = delete;

    private:
        event_loop& owner;
    };

    /**
     * @brief Calls a function after the current event, never from within this call.
     * @param function Function.
     */
    void defer(std::function<void()> function);

    /**
     * @brief Calls a function on each tick.
     * @param function Receives the current time.
     */
    void on_tick(std::function<void(timestamp)> function);

    /**
     * @brief Calls a function after a suspension.
     * @param function Receives its length.
     */
    void on_suspension(std::function<void(microseconds)> function);

    /*! @brief Runs until `stop`. */
    void run();

    /*! @brief Ends `run`. */
    void stop();

private:
    void wait();
    void tick();

    boost::asio::io_context io{1};
    boost::asio::steady_timer clock{this->io};
    std::multimap<timestamp, timer_id> queue{};
    std::unordered_map<timer_id, std::pair<timestamp, std::function<void()>>> timers{};
    std::vector<std::function<void()>> deferred{};
    std::size_t open_turns{};
    std::vector<std::function<void(timestamp)>> tickers{};
    std::vector<std::function<void(microseconds)>> wakers{};
    timer_id last_id{};
    timestamp last_tick{boot_now()};
};

} // namespace kumquatdrift

#endif
