#ifndef KUMQUATDRIFT_DISTRIBUTION_SERVICE_HPP
#define KUMQUATDRIFT_DISTRIBUTION_SERVICE_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <kumquatdrift/config/types.hpp>
#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/distribution/fwd.hpp>
#include <kumquatdrift/distribution/sources.hpp>
#include <kumquatdrift/log/port.hpp>
#include <kumquatdrift/membership/types.hpp>

namespace grpc {
class Service;
}

namespace kumquatdrift {

/*! @brief Settings of the distribution service. */
struct distribution_settings {
    /*! @brief Choice of sources, timing and limits. */
    source_settings sources{};
    /*! @brief Limits of this node as a parent. */
    parent_limits parent{};
    /*! @brief Retention of the log; checkpoints are written each quarter of it. */
    milliseconds log_retention{3'600'000};
    /*! @brief Upper bound of the random delay before a checkpoint is written. */
    milliseconds checkpoint_delay{10'000};
};

/*! @brief One folded record, for status. */
struct recent_fold {
    /*! @brief Offset of the record. */
    log_offset offset{};
    /*! @brief Name of the outcome. */
    std::string outcome{};
    /*! @brief Reason, empty if the record was accepted. */
    std::string reason{};
    /*! @brief Edit id, empty if the record is not an edit. */
    std::string edit_id{};
};

/*! @brief Snapshot of the distribution service for status, readiness and metrics. */
struct distribution_status {
    /*! @brief Offset of the next record to fold. */
    log_offset next_offset{};
    /*! @brief Version in force, 0 for none. */
    config_version version{};
    /*! @brief Version below which the node is not ready. */
    config_version version_floor{};
    /*! @brief True if a version at or above the floor is in force, or the log was read and holds none. */
    bool ready{};
    /*! @brief True if a record of a newer format stopped the fold. */
    bool upgrade_needed{};
    /*! @brief Source in use. */
    config_source source{};
    /*! @brief Nodes that this node watches. */
    std::vector<std::string> parents{};
    /*! @brief Streams that this node serves. */
    std::uint32_t children{};
    /*! @brief Time since the configuration was known to be current. */
    milliseconds age{};
    /*! @brief Last folded records, oldest first. */
    std::vector<recent_fold> recent{};
    /*! @brief Bytes of payloads received from the log. */
    std::uint64_t log_bytes{};
    /*! @brief Bytes of messages received from parents and peers. */
    std::uint64_t received_bytes{};
    /*! @brief Bytes of messages sent to children and peers. */
    std::uint64_t sent_bytes{};
    /*! @brief Streams that were redirected because of a limit. */
    std::uint64_t redirected{};
    /*! @brief Checkpoints written. */
    std::uint64_t checkpoints{};
    /*! @brief Last error of the source, empty if there is none. */
    std::string last_reason{};
};

/*! @brief Keeps the configuration of a node current and passes it on to other nodes. */
class distribution_service {
public:
    /*! @brief Returns the current member view; may be called from any thread. */
    using view_function = std::function<member_view_ptr()>;
    /*! @brief Returns the version that this node held before its restart, as far as its peers know. */
    using floor_function = std::function<config_version()>;
    /*! @brief Receives each new configuration in order of version, on the `config` thread. */
    using install_function = std::function<void(const effective_config&)>;

    /*! @brief What the service needs from the node. */
    struct environment {
        /*! @brief Port to the log. */
        log_port log{};
        /*! @brief Name of this node. */
        std::string node{};
        /*! @brief Data centre of this node. */
        std::string data_centre{};
        /*! @brief Member view. */
        view_function view{};
        /*! @brief Version floor. */
        floor_function version_floor{};
        /*! @brief Receiver of new configurations. */
        install_function install{};
    };

    /**
     * @brief Starts the service with its threads.
     * @param environment What the service needs from the node.
     * @param settings Settings.
     * @return The service, or why a setting is not usable.
     */
    [[nodiscard]] static result<std::unique_ptr<distribution_service>>
    create(environment environment, const distribution_settings& settings = {});

    /*! @brief Stops the threads. Takes up to one long poll. The gRPC server must have been shut down. */
    ~distribution_service();

    distribution_service(const distribution_service&) = delete;
    distribution_service(distribution_service&&) = delete;
    distribution_service& operator=(const distribution_service&) = delete;
    distribution_service& operator=(distribution_service&&) = delete;

    /**
     * @brief Returns the gRPC service to register on the node's server. Owned by this object.
     * @return The gRPC service.
     */
    [[nodiscard]] grpc::Service& grpc_service() noexcept;

    /*! @brief Ends the streams served. Call it before the gRPC server is shut down, which waits for them. */
    void end_streams();

    /**
     * @brief Returns the state of the service.
     * @return The status.
     */
    [[nodiscard]] distribution_status status() const;

    /*! @brief Details of the service. */
    struct implementation;

private:
    explicit distribution_service(std::unique_ptr<implementation> made) noexcept;

    std::unique_ptr<implementation> parts;
};

} // namespace kumquatdrift

#endif
