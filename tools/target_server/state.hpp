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

/*! @brief State that the request handlers and the announcer share. Thread-safe. */
class state {
public:
    /**
     * @brief Constructs the state of a target that starts now.
     * @param settings Options.
     */
    explicit state(options settings);

    /*! @brief Returns the options. */
    [[nodiscard]] const options& settings() const noexcept
    {
        return this->opts;
    }

    /*! @brief Returns the current state, as announced to the node. */
    [[nodiscard]] kumquatdrift::target_state current() const;

    /*! @brief Starts the drain: new requests are rejected and the announcer is woken. */
    void start_drain();

    /*! @brief Acquires a slot. @return False if all slots are in use and excess requests are rejected. */
    [[nodiscard]] bool try_acquire_slot();

    /*! @brief Releases a slot. */
    void release_slot();

    /*! @brief Adds a request in flight, with or without a slot. */
    void start_request();

    /*! @brief Removes a request in flight. */
    void end_request();

    /*! @brief Blocks until no request is in flight. */
    void wait_until_idle();

    /*! @brief Blocks until the drain starts or the timeout passes; for the whole timeout if the target drains
     * already. */
    void wait_for_drain(kumquatdrift::milliseconds timeout);

    /*! @brief Records one execution of a request id. */
    void record_execution(const std::string& id);

    /*! @brief Returns the number of executions by request id. */
    [[nodiscard]] std::map<std::string, std::uint64_t> ledger() const;

    /*! @brief Removes all recorded executions. */
    void clear_ledger();

    /*! @brief Returns the number of slots in use. */
    [[nodiscard]] std::uint32_t in_use() const;

private:
    options opts;
    kumquatdrift::timestamp started;
    mutable std::mutex mutex{};
    std::condition_variable changed{};
    bool draining{};
    std::uint32_t slots_in_use{};
    std::uint32_t in_flight{};
    std::map<std::string, std::uint64_t> executions{};
};

} // namespace target_server

#endif
