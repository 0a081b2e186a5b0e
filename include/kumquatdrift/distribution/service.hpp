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
    /*! @brief Selection of sources and its timeouts. */
    source_settings sources{};
    /*! @brief Limits on what this node serves to its children. */
    parent_limits parent{};
    /*! @brief Retention of the log. A checkpoint is due once the last one is older than a quarter of it. */
    milliseconds log_retention{3'600'000};
    /*! @brief Upper bound of the random delay before a checkpoint is written. */
    milliseconds checkpoint_delay{10'000};
};

/*! @brief Outcome of one folded record, for the status. */
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

/*! @brief Status of the distribution service for the admin API, readiness and metrics. */
struct distribution_status {
    /*! @brief Offset of the next record to fold. */
    log_offset next_offset{};
    /*! @brief Version in force, 0 for none. */
    config_version version{};
    /*! @brief Version below which the node is not ready. */
    config_version version_floor{};
    /*! @brief True once startup is over and either a version at or above the floor is in force or the log was
     * read and contains none. */
    bool ready{};
    /*! @brief True if a record of a newer format stopped the fold. */
    bool upgrade_needed{};
    /*! @brief Source in use. */
    config_source source{};
    /*! @brief Names of the nodes that this node watches. */
    std::vector<std::string> parents{};
    /*! @brief Number of streams that this node serves. */
    std::uint32_t children{};
    /*! @brief Time since the configuration was last known to be current. */
    milliseconds age{};
    /*! @brief Most recently folded records, oldest first. */
    std::vector<recent_fold> recent{};
    /*! @brief Bytes of record payloads read from the log. */
    std::uint64_t log_bytes{};
    /*! @brief Bytes of messages received from parents and peers. */
    std::uint64_t received_bytes{};
    /*! @brief Bytes of messages sent to children and peers. */
    std::uint64_t sent_bytes{};
    /*! @brief Number of streams rejected with a redirect. */
    std::uint64_t redirected{};
    /*! @brief Number of checkpoints that this node wrote. */
    std::uint64_t checkpoints{};
    /*! @brief Last error of the log, or else of the replica; empty if there is none. */
    std::string last_reason{};
};

/*! @brief Keeps the configuration of a node current and forwards it to other nodes. */
class distribution_service {
public:
    /*! @brief Returns the current member view. Must be callable from any thread. */
    using view_function = std::function<member_view_ptr()>;
    /*! @brief Returns the version that this node held before its restart, according to its peers; 0 if
     * unknown. */
    using version_floor_function = std::function<config_version()>;
    /*! @brief Called with each new configuration in order of version, on the `config` thread. */
    using install_function = std::function<void(const effective_config&)>;

    /*! @brief What the node supplies to the service. */
    struct environment {
        /*! @brief Access to the log. */
        log_port log{};
        /*! @brief Name of this node. */
        std::string node{};
        /*! @brief Data centre of this node. */
        std::string data_centre{};
        /*! @brief Member view; required. */
        view_function view{};
        /*! @brief Version floor; 0 if the function is empty. */
        version_floor_function version_floor{};
        /*! @brief Receiver of new configurations; required. */
        install_function install{};
    };

    /**
     * @brief Starts the service with its threads.
     * @param environment What the node supplies to the service.
     * @param settings Settings.
     * @return The service, or the reason why the environment or a setting is invalid.
     */
    [[nodiscard]] static result<std::unique_ptr<distribution_service>>
    create(environment environment, const distribution_settings& settings = {});

    /*! @brief Stops the threads. Blocks for up to one long poll of the log. The gRPC server must have been
     * shut down before. */
    ~distribution_service();

    distribution_service(const distribution_service&) = delete;
    distribution_service(distribution_service&&) = delete;
    distribution_service& operator=(const distribution_service&) = delete;
    distribution_service& operator=(distribution_service&&) = delete;

    /**
     * @brief Returns the gRPC service to register with the node's server. Owned by this object.
     * @return The gRPC service.
     */
    [[nodiscard]] grpc::Service& grpc_service() noexcept;

    /*! @brief Ends all served streams. Call it before the gRPC server is shut down, which waits for them. */
    void end_streams();

    /**
     * @brief Returns the status of the service.
     * @return The status.
     */
    [[nodiscard]] distribution_status status() const;

    /*! @brief Private implementation. */
    struct implementation;

private:
    explicit distribution_service(std::unique_ptr<implementation> state) noexcept;

    std::unique_ptr<implementation> impl;
};

} // namespace kumquatdrift

#endif
