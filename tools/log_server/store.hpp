#ifndef KUMQUATDRIFT_TOOLS_LOG_SERVER_STORE_HPP
#define KUMQUATDRIFT_TOOLS_LOG_SERVER_STORE_HPP

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/core/token_bucket.hpp>
#include <kumquatdrift/log/port.hpp>

namespace kumquatdrift::log_server {

/*! @brief Limits and simulated faults of the log, set by `POST /control`. */
struct fault_settings {
    /*! @brief True to reject all requests on streams. */
    bool outage{};
    /*! @brief Delay of each response to a request on a stream, after the request took effect. */
    std::uint64_t delay_ms{};
    /*! @brief Number of following appends that take effect without a response. */
    std::uint64_t lose_answers{};
    /*! @brief Records kept in each stream, 0 for no limit. */
    std::uint64_t retention_records{};
    /*! @brief Time that records are kept, 0 for no limit. */
    std::uint64_t retention_ms{};
    /*! @brief Appends accepted per second over all streams; the log of the platform takes several hundred. */
    std::uint64_t appends_per_s{400};
};

/*! @brief Counters since the start, and the number of waiting reads. */
struct counters {
    /*! @brief Records appended. */
    std::uint64_t appends{};
    /*! @brief Appends rejected by the rate limit. */
    std::uint64_t rate_limited{};
    /*! @brief Requests rejected during an outage. */
    std::uint64_t outage_refusals{};
    /*! @brief Appends that took effect without a response. */
    std::uint64_t lost_answers{};
    /*! @brief Completed reads. */
    std::uint64_t reads{};
    /*! @brief Reads that wait for a record at present. */
    std::uint64_t waiting{};
    /*! @brief Payload bytes appended. */
    std::uint64_t bytes_in{};
    /*! @brief Payload bytes returned by reads. */
    std::uint64_t bytes_out{};
};

/*! @brief Outcome of a request on a stream. */
enum class store_status : std::uint8_t {
    /*! @brief The request took effect. */
    ok,
    /*! @brief Rejected by a simulated outage. */
    outage,
    /*! @brief Rejected by the rate limit. */
    rate_limited,
};

/*! @brief Result of an append. */
struct append_outcome {
    /*! @brief Outcome. */
    store_status status{};
    /*! @brief Offset of the appended record. Valid only if `status` is `ok`. */
    log_offset offset{};
    /*! @brief True if the connection is to be closed without a response. */
    bool lose_response{};
};

/*! @brief Result of a read. */
struct read_outcome {
    /*! @brief Outcome. */
    store_status status{};
    /*! @brief Records read, with the bounds of the stream. Valid only if `status` is `ok`. */
    log_batch batch{};
};

/*! @brief Streams in memory. Thread-safe. */
class store {
public:
    /*! @brief Constructs a store without streams. */
    store();

    /**
     * @brief Appends a record and wakes the readers of the stream.
     * @param stream Name of the stream.
     * @param payload Payload of the record.
     * @return The outcome.
     */
    [[nodiscard]] append_outcome append(const std::string& stream, std::string payload);

    /**
     * @brief Reads records. If the stream has none at or after the first offset, waits for one.
     * @param stream Name of the stream.
     * @param from First offset.
     * @param limit Largest number of records.
     * @param wait Longest time to wait.
     * @return The outcome.
     */
    [[nodiscard]] read_outcome read(const std::string& stream, log_offset from, std::size_t limit,
                                    milliseconds wait);

    /**
     * @brief Returns the current limits and simulated faults.
     * @return A copy.
     */
    [[nodiscard]] fault_settings settings();

    /**
     * @brief Replaces the limits and simulated faults, and wakes all blocked readers.
     * @param settings New limits and faults.
     */
    void set(const fault_settings& settings);

    /**
     * @brief Returns the counters.
     * @return A copy.
     */
    [[nodiscard]] counters counts();

private:
    struct entry {
        std::string payload{};
        timestamp appended{};
    };
    struct stream_content {
        log_offset earliest{};
        std::deque<entry> entries{};
        std::condition_variable appended{};

        [[nodiscard]] log_offset end() const
        {
            return this->earliest + this->entries.size();
        }
    };

    stream_content& find_or_create(const std::string& stream);
    void expire(stream_content& content) const;
    void copy_records(const stream_content& content, log_offset from, std::size_t limit, log_batch& batch);

    std::mutex mutex{};
    std::map<std::string, std::unique_ptr<stream_content>> streams{};
    fault_settings active{};
    counters counted{};
    std::optional<token_bucket> bucket{};
};

} // namespace kumquatdrift::log_server

#endif
