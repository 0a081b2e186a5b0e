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

/*! @brief Answer of an owner to a claim. */
struct owner_reply {
    /*! @brief The answer. */
    claim_answer answer{};
    /*! @brief True if a record of the claim is, or may be, in the log. */
    bool recorded{};
    /*! @brief True if the node does not own the partition in its own view. */
    bool not_owner{};
};

/*! @brief Receives the answer to a claim, once, on any thread. */
using reply_function = std::function<void(owner_reply)>;

/*! @brief Runs the partitions that this node owns on a few threads. */
class owner_pool {
public:
    /*! @brief Tells whether this node acts as owner of a partition in the current view. */
    using owns_function = std::function<bool(std::size_t partition)>;

    /**
     * @brief Starts the threads.
     * @param port Port to the log.
     * @param check Ownership check, callable from any thread.
     * @param chosen Settings.
     */
    owner_pool(log_port port, owns_function check, const claim_service_settings& chosen);

    /*! @brief Stops the threads. */
    ~owner_pool();

    owner_pool(const owner_pool&) = delete;
    owner_pool(owner_pool&&) = delete;
    owner_pool& operator=(const owner_pool&) = delete;
    owner_pool& operator=(owner_pool&&) = delete;

    /**
     * @brief Claims a key.
     * @param request The request, with the deadline by this node's clock.
     * @param reply Receives the answer.
     */
    void claim(claim_request request, const reply_function& reply);

    /**
     * @brief Writes a completion or a release.
     * @param entry The entry.
     * @return False if this node is not the owner or its ring is full.
     */
    [[nodiscard]] bool follow_up(claim_entry entry);

    /*! @brief Rejects further requests, answers the waiting claims and stops the threads. */
    void stop();

    /**
     * @brief Adds the counters of the pool to a status.
     * @param status The status.
     */
    void add_to(claim_service_status& status) const;

private:
    struct pool_event {
        claim_request request{};
        reply_function reply{};
        std::optional<claim_entry> entry{};
        std::size_t partition{};
    };

    struct run_state {
        claim_partition partition{};
        std::map<std::uint64_t, reply_function> replies{};
        timestamp used{};
    };

    struct pool_worker {
        explicit pool_worker(std::size_t capacity) : ring{capacity} {}

        bounded_ring<pool_event> ring;
        std::map<std::size_t, run_state> partitions{};
        std::uint64_t tickets{};
        random_engine rng{std::random_device{}()};
        claim_service_status published{};
        std::thread thread{};
    };

    [[nodiscard]] pool_worker& worker_of(std::size_t partition) noexcept;
    void run(pool_worker& worker);
    void accept(pool_worker& worker, pool_event added, timestamp now);
    [[nodiscard]] timestamp step_all(pool_worker& worker);
    [[nodiscard]] timestamp step(pool_worker& worker, std::size_t number, run_state& state);
    void deliver(run_state& state);
    void disown(pool_worker& worker, timestamp now);
    void publish(pool_worker& worker);
    void answer_all(pool_worker& worker);

    log_port log;
    owns_function owns;
    claim_service_settings settings;
    mutable std::mutex mutex{};
    std::vector<std::unique_ptr<pool_worker>> workers{};
    std::atomic<bool> stopped{};
};

} // namespace kumquatdrift::internal

#endif
