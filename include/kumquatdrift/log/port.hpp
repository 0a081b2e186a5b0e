#ifndef KUMQUATDRIFT_LOG_PORT_HPP
#define KUMQUATDRIFT_LOG_PORT_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/core/verdict.hpp>
#include <kumquatdrift/log/fwd.hpp>

namespace kumquatdrift {

/*! @brief Position of a record in a stream. The first record of a stream has offset 0. */
using log_offset = std::uint64_t;

/*! @brief Stream of configuration edits and checkpoints. */
inline constexpr std::string_view config_stream = "config";

/*! @brief Stream of presence records, from which a starting node gets the addresses of other nodes. */
inline constexpr std::string_view presence_stream = "presence";

/*! @brief One record of a stream. */
struct log_record {
    /*! @brief Position in the stream. */
    log_offset offset{};
    /*! @brief UTF-8 text of the record. */
    std::string payload{};
};

/*! @brief Range of the records that a stream retains. */
struct log_bounds {
    /*! @brief Offset of the oldest retained record; equal to `end` if there is none. */
    log_offset earliest{};
    /*! @brief Offset of the next record to be appended. */
    log_offset end{};
};

/*! @brief Result of a read. */
struct log_batch {
    /*! @brief Retained range at the time of the read. */
    log_bounds bounds{};
    /*! @brief Records in order of offset, starting at the later of the requested offset and `earliest`. */
    std::vector<log_record> records{};
};

/*! @brief Result of an append. */
struct append_result {
    /*! @brief `ran`: appended. `not_run`: not appended. `may_have_run`: unknown, because there was no valid
     * response. */
    verdict effect{verdict::not_run};
    /*! @brief Offset of the record. Valid only if `effect` is `ran`. */
    log_offset offset{};
    /*! @brief Why the record was not, or may not have been, appended. */
    std::string reason{};
};

/*! @brief Interface to the append-only log of the platform. All members block and are thread-safe. */
struct log_port {
    /*! @brief Appends a payload to a stream. */
    std::function<append_result(std::string_view stream, std::string payload)> append{};
    /*! @brief Reads up to `limit` records starting at an offset. Waits up to `wait` if there is none yet. */
    std::function<result<log_batch>(std::string_view stream, log_offset from, std::size_t limit,
                                    milliseconds wait)>
        read{};
    /*! @brief Returns the retained range of a stream. */
    std::function<result<log_bounds>(std::string_view stream)> bounds{};
};

} // namespace kumquatdrift

#endif
