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

/*! @brief Switches that simulate failures of the log. */
struct switches {
    /*! @brief True to refuse all requests on streams. */
    bool outage{};
    /*! @brief Delay of each answer, after the request took effect. */
    std::uint64_t delay_ms{};
    /*! @brief Number of next appends that take effect and get no answer. */
    std::uint64_t lose_answers{};
    /*! @brief Records kept in each stream, 0 for no limit. */
    std::uint64_t retention_records{};
    /*! @brief Time that records are kept, 0 for no limit. */
    std::uint64_t retention_ms{};
    /*! @brief Appends accepted in a second over all streams. The platform's log takes several hundred. */
    std::uint64_t appends_per_s{400};
};

/*! @brief Counters since the start. */
struct counters {
    /*! @brief Records appended. */
    std::uint64_t appends{};
    /*! @brief Appends refused by the rate limit. */
    std::uint64_t rate_limited{};
    /*! @brief Requests refused in an outage. */
    std::uint64_t outage_refusals{};
    /*! @brief Appends whose answer was lost. */
    std::uint64_t lost_answers{};
    /*! @brief Reads answered. */
    std::uint64_t reads{};
    /*! @brief Reads that wait at the moment. */
    std::uint64_t waiting{};
    /*! @brief Bytes of appended payloads. */
    std::uint64_t bytes_in{};
    /*! @brief Bytes of payloads read. */
    std::uint64_t bytes_out{};
};

/*! @brief How a request on a stream ended. */
enum class store_status : std::uint8_t {
    /*! @brief Done. */
    ok,
    /*! @brief Refused in an outage. */
    outage,
    /*! @brief Refused by the rate limit. */
    rate_limited,
};

/*! @brief Result of an append. */
struct append_outcome {
    /*! @brief How it ended. */
    store_status status{};
    /*! @brief Offset of the record. */
    log_offset offset{};
    /*! @brief True if the answer is to be lost. */
    bool lose_answer{};
};

/*! @brief Result of a read. */
struct read_outcome {
    /*! @brief How it ended. */
    store_status status{};
    /*! @brief Records with bounds. */
    log_batch batch{};
};

/*! @brief Streams in memory. Safe for many threads. */
class store {
public:
    /*! @brief Constructs an empty store. */
    store();

    /**
     * @brief Appends a record and wakes the readers of the stream.
     * @param stream Name of the stream.
     * @param payload Payload.
     * @return The outcome.
     */
    [[nodiscard]] append_outcome append(const std::string& stream, std::string payload);

    /**
     * @brief Reads records; waits for the first one.
     * @param stream Name of the stream.
     * @param from First offset.
     * @param limit Largest number of records.
     * @param wait Longest time to wait.
     * @return The outcome.
     */
    [[nodiscard]] read_outcome read(const std::string& stream, log_offset from, std::size_t limit,
                                    milliseconds wait);

    /**
     * @brief Returns the switches.
     * @return A copy.
     */
    [[nodiscard]] switches settings();

    /**
     * @brief Changes the switches and wakes all readers.
     * @param changed New switches.
     */
    void set(const switches& changed);

    /**
     * @brief Returns the counters.
     * @return A copy.
     */
    [[nodiscard]] counters counted();

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

    stream_content& find(const std::string& stream);
    void expire(stream_content& content) const;
    void copy_records(const stream_content& content, log_offset from, std::size_t limit, log_batch& batch);

    std::mutex mutex{};
    std::map<std::string, std::unique_ptr<stream_content>> streams{};
    switches active{};
    counters count{};
    std::optional<token_bucket> bucket{};
};

} // namespace kumquatdrift::log_server

#endif
