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
    /*! @brief Threads that run the owned partitions; a partition always stays on one thread. */
    std::size_t threads{4};
    /*! @brief Requests that may wait in the ring of one thread. */
    std::size_t ring_capacity{4'096};
    /*! @brief Time after which a claim is also sent to the next owner by rank while the first is silent. */
    milliseconds hedge_delay{300};
    /*! @brief Channels to other owners that are kept open. */
    std::size_t max_channels{16};
    /*! @brief Time after which the state of a partition is dropped that this node no longer owns. */
    milliseconds disown_after{30'000};
    /*! @brief Time for which a completion or release is tried again. */
    milliseconds follow_up_lifetime{60'000};
};

/*! @brief Snapshot of the claim service for status and metrics. */
struct claim_service_status {
    /*! @brief Partitions that the node holds in memory. */
    std::size_t partitions{};
    /*! @brief Sum of the counters of all partitions. */
    claim_counters counters{};
    /*! @brief Calls sent to other owners. */
    std::uint64_t remote_calls{};
    /*! @brief Completions and releases given up. */
    std::uint64_t lost_follow_ups{};
};

/*! @brief Claims keys at the owners of their partitions, and acts as owner for its own partitions. */
class claim_service {
public:
    /*! @brief Returns the current member view; may be called from any thread. */
    using view_function = std::function<member_view_ptr()>;

    /**
     * @brief Starts the service with its threads.
     * @param log Port to the log.
     * @param node Name of this node.
     * @param view Returns the current member view.
     * @param settings Settings.
     * @return The service, or why a setting is not usable.
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
     * @brief Returns the port. It must not be used after the service is destroyed.
     * @return The port.
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

    /*! @brief Answers the waiting claims `unavailable` and rejects new ones. */
    void stop();

    /**
     * @brief Returns counters.
     * @return The status.
     */
    [[nodiscard]] claim_service_status status() const;

    /*! @brief Details of the service. */
    struct implementation;

private:
    explicit claim_service(std::unique_ptr<implementation> made) noexcept;

    std::unique_ptr<implementation> parts;
};

} // namespace kumquatdrift

#endif
