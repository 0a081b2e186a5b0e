#ifndef KUMQUATDRIFT_CLAIMS_OWNER_POOL_HPP
#define KUMQUATDRIFT_CLAIMS_OWNER_POOL_HPP

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <thread>
#include <vector>

#include <kumquatdrift/claims/service.hpp>
#include <kumquatdrift/core/bounded_ring.hpp>

namespace kumquatdrift::internal {

/*! @brief Response of an owner to a claim. */
struct owner_response {
    /*! @brief Decision on the claim. */
    claim_result result{};
    /*! @brief True if the log holds a record of the claim, or may hold one. */
    bool recorded{};
    /*! @brief True if the node does not own the partition according to its own member view. */
    bool not_owner{};
};

/*! @brief Receives the response to a claim. Called exactly once, on any thread. */
using response_callback = std::function<void(owner_response)>;

/*! @brief Thread pool that processes the partitions that this node owns. */
class owner_pool {
public:
    /*! @brief Returns true if this node acts as owner of a partition in the current member view. */
    using ownership_check = std::function<bool(std::size_t partition)>;

    /**
     * @brief Starts the threads.
     * @param port Interface to the log.
     * @param is_owner Ownership check. May be called from any thread.
     * @param options Settings.
     */
    owner_pool(log_port port, ownership_check is_owner, const claim_service_settings& options);

    /*! @brief Stops the threads. */
    ~owner_pool();

    owner_pool(const owner_pool&) = delete;
    owner_pool(owner_pool&&) = delete;
    owner_pool& operator=(const owner_pool&) = delete;
    owner_pool& operator=(owner_pool&&) = delete;

    /**
     * @brief Claims a key.
     * @param request The request, with the deadline by this node's clock.
     * @param respond Receives the response.
     */
    void claim(claim_request request, const response_callback& respond);

    /**
     * @brief Queues a completion or a release to be written.
     * @param entry The entry.
     * @return False if this node does not own the partition or the queue is full.
     */
    [[nodiscard]] bool follow_up(claim_entry entry);

    /*! @brief Rejects new requests, completes pending claims as `unavailable` and stops the threads. */
    void stop();

    /**
     * @brief Adds the counters of the pool to a status.
     * @param status The status.
     */
    void add_to(claim_service_status& status) const;

private:
    // A claim, or a completion or release if `follow_up` is set.
    struct queued_request {
        claim_request claim{};
        response_callback respond{};
        std::optional<claim_entry> follow_up{};
        std::size_t partition{};
    };

    struct owned_partition {
        claim_partition partition{};
        std::map<std::uint64_t, response_callback> callbacks{};
        timestamp last_used{};
    };

    struct pool_worker {
        explicit pool_worker(std::size_t capacity) : queue{capacity} {}

        bounded_ring<queued_request> queue;
        std::map<std::size_t, owned_partition> partitions{};
        std::uint64_t last_ticket{};
        random_engine rng{std::random_device{}()};
        claim_service_status published_status{};
        std::thread thread{};
    };

    [[nodiscard]] pool_worker& worker_of(std::size_t partition) noexcept;
    void run(pool_worker& worker);
    void submit(pool_worker& worker, queued_request request, timestamp now);
    [[nodiscard]] timestamp step_all(pool_worker& worker);
    [[nodiscard]] timestamp step(pool_worker& worker, std::size_t number, owned_partition& owned);
    void deliver_decisions(owned_partition& owned);
    void remove_unowned_partitions(pool_worker& worker, timestamp now);
    void publish_status(pool_worker& worker);
    void reject_pending_claims(pool_worker& worker);

    log_port log;
    ownership_check owns;
    claim_service_settings settings;
    mutable std::mutex mutex{};
    std::vector<std::unique_ptr<pool_worker>> workers{};
    std::atomic<bool> stopped{};
};

} // namespace kumquatdrift::internal

#endif
