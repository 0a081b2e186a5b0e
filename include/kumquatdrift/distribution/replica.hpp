#ifndef KUMQUATDRIFT_DISTRIBUTION_REPLICA_HPP
#define KUMQUATDRIFT_DISTRIBUTION_REPLICA_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <kumquatdrift/config/fold.hpp>
#include <kumquatdrift/config/state.hpp>
#include <kumquatdrift/config/version_gate.hpp>
#include <kumquatdrift/core/random.hpp>
#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/log/port.hpp>

namespace kumquatdrift {

/*! @brief Settings of a replica. */
struct replica_settings {
    /*! @brief Data centre whose effective configuration is installed. */
    std::string data_centre{};
    /*! @brief Retention of the log. A checkpoint is due once the last one is older than a quarter of it. */
    microseconds log_retention{3'600'000'000};
    /*! @brief Upper bound of the random delay before a checkpoint is written. The node writes none if it sees
     * another node's checkpoint in the log during the delay. */
    microseconds checkpoint_delay{10'000'000};
    /*! @brief Largest number of out-of-order records, whose offsets are above the next one, to keep. */
    std::size_t max_out_of_order{256};
    /*! @brief Largest number of folded records to keep for children. */
    std::size_t max_buffered{512};
    /*! @brief Largest total size in bytes of folded records to keep for children. */
    std::size_t max_buffered_bytes{1'024 * 1'024};
    /*! @brief Largest number of fold outcomes to keep for the status. */
    std::size_t max_outcomes{32};
};

/*! @brief A record transferred between nodes, with a digest that detects corruption in transit. */
struct offered_record {
    log_record record{};
    /*! @brief Value of `record_digest` at the sender. */
    std::uint64_t digest{};
};

/**
 * @brief Computes the digest of a record from its offset and payload.
 * @param record The record.
 * @return The digest.
 */
[[nodiscard]] std::uint64_t record_digest(const log_record& record) noexcept;

/*! @brief The folded configuration state of a node and the records that it forwards to its children. Not
 * copyable because of the version gate. */
struct replica {
    replica_settings settings{};
    /*! @brief Result of folding all records below `state.next_offset`. */
    config_state state{};
    /*! @brief Version in force and the version floor. */
    version_gate gate{};
    /*! @brief False while the node starts up: the version floor may not be known yet, and a stale parent must
     * not make the node install a version older than the one that it held before its restart. */
    bool may_install{};
    /*! @brief Out-of-order records by offset, kept until the missing records before them arrive. */
    std::map<log_offset, std::string> out_of_order{};
    /*! @brief Most recently folded records in order of offset, for children. */
    std::deque<log_record> buffer{};
    /*! @brief Total size of the payloads in `buffer`. */
    std::size_t buffered_bytes{};
    /*! @brief Highest bounds of the log that any read has returned. */
    log_bounds bounds{};
    /*! @brief True if a record of a newer format stopped the fold. */
    bool fold_stopped{};
    /*! @brief True if records expired from the log before this replica folded them. */
    bool has_gap{};
    /*! @brief Outcomes of the most recently folded records, oldest first. */
    std::deque<fold_outcome> outcomes{};
    /*! @brief Offset of the valid checkpoint record that covers the most records. */
    std::optional<log_offset> checkpoint_offset{};
    /*! @brief That checkpoint covers all records below this offset. */
    log_offset checkpoint_covers{};
    /*! @brief Time at which that checkpoint was read. Without one, time at which this replica got its first
     * record or snapshot. */
    std::optional<timestamp> checkpoint_seen_at{};
    /*! @brief Time at which this node writes a checkpoint unless another node writes one first. */
    std::optional<timestamp> checkpoint_due_at{};
    /*! @brief Reason for the last rejected record or snapshot, or for the last fold or install that failed.
     */
    std::string last_reason{};
};

/*! @brief Effect of offered records or of an offered snapshot on a replica. */
struct replica_change {
    /*! @brief Number of records folded. */
    std::size_t folded{};
    /*! @brief True if the whole state was replaced. */
    bool replaced{};
    /*! @brief Number of records or snapshots rejected: wrong digest, not decodable, or no room for another
     * out-of-order record. */
    std::size_t rejected{};
    /*! @brief Configuration that this change put in force, if any. */
    std::optional<effective_config> installed{};
};

/**
 * @brief Offers records received from another node, in any order.
 *
 * Ignores records below the next offset. Keeps records above it until the missing ones have arrived.
 *
 * @param replica The replica.
 * @param records The records.
 * @param now Current time.
 * @return What changed.
 */
replica_change offer_records(replica& replica, const std::vector<offered_record>& records, timestamp now);

/**
 * @brief Offers a batch read from the log.
 * @param replica The replica. Sets its `has_gap` if records expired before it folded them.
 * @param batch The batch.
 * @param now Current time.
 * @return What changed.
 */
replica_change offer_log_batch(replica& replica, const log_batch& batch, timestamp now);

/**
 * @brief Offers all retained records, to recover from a gap through a checkpoint.
 * @param replica The replica.
 * @param batch All retained records.
 * @param now Current time.
 * @return What changed. Without a usable checkpoint nothing changes and the gap remains.
 */
replica_change offer_retained(replica& replica, const log_batch& batch, timestamp now);

/**
 * @brief Offers a snapshot of the state of another node.
 * @param replica The replica.
 * @param state Snapshot in the format of `make_checkpoint_record`.
 * @param state_digest Digest that the sender computed over `state`.
 * @param now Current time.
 * @return What changed. A snapshot that is not newer than the state of the replica is ignored.
 */
replica_change offer_snapshot(replica& replica, std::string_view state, std::uint64_t state_digest,
                              timestamp now);

/**
 * @brief Lets the replica install versions, once the startup of the node is over.
 * @param replica The replica.
 * @return What changed.
 */
replica_change allow_install(replica& replica);

/**
 * @brief Raises the version floor.
 * @param replica The replica.
 * @param floor Version that this node held before its restart; older versions are not installed.
 */
void raise_version_floor(replica& replica, config_version floor);

/**
 * @brief Returns the offset of the next record to fold.
 * @param replica The replica.
 * @return The offset.
 */
[[nodiscard]] log_offset next_offset(const replica& replica) noexcept;

/**
 * @brief Returns the buffered records from an offset on.
 * @param replica The replica.
 * @param from The offset.
 * @return The records, or nothing if some of them have been evicted, so that a snapshot is needed.
 */
[[nodiscard]] std::optional<std::vector<log_record>> records_since(const replica& replica, log_offset from);

/**
 * @brief Decides whether this node writes a checkpoint now.
 * @param replica The replica.
 * @param log_current True if the log was read to its end recently.
 * @param now Current time.
 * @param rng Random engine.
 * @return Payload to append, or nothing. Returned again after another delay as long as no checkpoint appears
 * in the log.
 */
[[nodiscard]] std::optional<std::string> plan_checkpoint(replica& replica, bool log_current, timestamp now,
                                                         random_engine& rng);

} // namespace kumquatdrift

#endif
