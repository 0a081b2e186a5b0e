#ifndef KUMQUATDRIFT_TARGET_SERVER_STATE_HPP
#define KUMQUATDRIFT_TARGET_SERVER_STATE_HPP

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/membership/types.hpp>

#include "options.hpp"

namespace target_server {

/*! @brief State that the request handlers and the announcer share. Safe for any thread. */
class state {
public:
    /**
     * @brief Constructs the state of a started target.
     * @param settings Options.
     */
    explicit state(options settings);

    /*! @brief Returns the options. */
    [[nodiscard]] const options& settings() const noexcept
    {
        return this->opts;
    }

    /*! @brief Returns the announced state at this moment. */
    [[nodiscard]] kumquatdrift::target_state current() const;

    /*! @brief Refuses new work from now on and wakes the announcer. */
    void start_drain();

    /*! @brief Takes a slot. @return False if all slots are in use and excess requests are refused. */
    [[nodiscard]] bool try_take_slot();

    /*! @brief Gives a slot back. */
    void give_slot();

    /*! @brief Counts a request in flight, whether or not it has a slot. */
    void enter();

    /*! @brief Ends a request in flight. */
    void leave();

    /*! @brief Waits until no request is in flight. */
    void wait_idle();

    /*! @brief Waits for a time or for a drain, whichever is first. */
    void wait_change(kumquatdrift::milliseconds time);

    /*! @brief Notes that a request id was run. */
    void note_run(const std::string& id);

    /*! @brief Returns the number of runs by request id. */
    [[nodiscard]] std::map<std::string, std::uint64_t> ledger() const;

    /*! @brief Forgets all runs. */
    void clear_ledger();

    /*! @brief Returns the slots in use. */
    [[nodiscard]] std::uint32_t in_use() const;

private:
    options opts;
    kumquatdrift::timestamp started;
    mutable std::mutex mutex{};
    std::condition_variable changed{};
    bool draining{};
    std::uint32_t slots_in_use{};
    std::uint32_t in_flight{};
    std::map<std::string, std::uint64_t> runs{};
};

} // namespace target_server

#endif
