#ifndef KUMQUATDRIFT_CLAIMS_SERVICE_HPP
#define KUMQUATDRIFT_CLAIMS_SERVICE_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <kumquatdrift/claims/port.hpp>
#include <kumquatdrift/claims/state.hpp>
#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/log/port.hpp>
#include <kumquatdrift/membership/types.hpp>

namespace grpc {
class Service;
}

namespace kumquatdrift {

/*! @brief Settings of the claim service. */
struct claim_service_settings {
    /*! @brief Limits of each owned partition. */
    claim_limits limits{};
    /*! @brief Threads that process the owned partitions. Each partition is pinned to one thread. */
    std::size_t threads{4};
    /*! @brief Capacity of the request queue of each thread, and of the queues of completions and releases. */
    std::size_t ring_capacity{4'096};
    /*! @brief Time without a response from an owner after which the claim is also sent to the owner of the
     * next rank. */
    milliseconds hedge_delay{300};
    /*! @brief Largest number of open channels to other owners. */
    std::size_t max_channels{16};
    /*! @brief Idle time after which a partition that this node no longer owns is removed from memory. */
    milliseconds unowned_partition_ttl{30'000};
    /*! @brief Time for which a failed completion or release is retried. */
    milliseconds follow_up_lifetime{60'000};
};

/*! @brief Snapshot of the claim service for status and metrics. */
struct claim_service_status {
    /*! @brief Number of partitions that the node holds in memory. */
    std::size_t partitions{};
    /*! @brief Sum of the counters of all partitions. */
    claim_counters counters{};
    /*! @brief Number of calls sent to other owners. */
    std::uint64_t remote_calls{};
    /*! @brief Number of completions and releases that this node discarded because its queue was full, their
     * lifetime had ended or the service stopped. Owners count theirs in `discarded_follow_ups`. */
    std::uint64_t undelivered_follow_ups{};
};

/*! @brief Sends claims to the owners of their partitions, and serves the partitions that this node owns. */
class claim_service {
public:
    /*! @brief Returns the current member view; may be called from any thread. */
    using view_function = std::function<member_view_ptr()>;

    /**
     * @brief Starts the service with its threads.
     * @param log Interface to the log.
     * @param node Name of this node.
     * @param view Returns the current member view.
     * @param settings Settings.
     * @return The service, or the reason why an argument is invalid.
     */
    [[nodiscard]] static result<std::unique_ptr<claim_service>>
    create(log_port log, std::string node, view_function view, const claim_service_settings& settings = {});

    /*! @brief Stops the threads. */
    ~claim_service();

    claim_service(const claim_service&) = delete;
    claim_service(claim_service&&) = delete;
    claim_service& operator=(const claim_service&) = delete;
    claim_service& operator=(claim_service&&) = delete;

    /**
     * @brief Returns the interface for callers. It must not be used after the service is destroyed.
     * @return The interface.
     */
    [[nodiscard]] claim_port port();

    /**
     * @brief Returns the gRPC service to register on the node's server. Owned by this object.
     *
     * Call `stop` before the server is shut down, and destroy this object after that.
     *
     * @return The gRPC service.
     */
    [[nodiscard]] grpc::Service& grpc_service() noexcept;

    /*! @brief Completes pending claims as `unavailable` and rejects new ones. */
    void stop();

    /**
     * @brief Returns the current status and counters.
     * @return The status.
     */
    [[nodiscard]] claim_service_status status() const;

    /*! @brief Private implementation. */
    struct implementation;

private:
    explicit claim_service(std::unique_ptr<implementation> created) noexcept;

    std::unique_ptr<implementation> impl;
};

} // namespace kumquatdrift

#endif
