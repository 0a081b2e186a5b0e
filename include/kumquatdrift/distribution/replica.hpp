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
    /*! @brief Data centre whose configuration is put in force. */
    std::string data_centre{};
    /*! @brief Retention of the log. A checkpoint is written each quarter of it. */
    microseconds log_retention{3'600'000'000};
    /*! @brief Upper bound of the random delay before a checkpoint is written. Another node's checkpoint that
     * is seen in this time replaces it. */
    microseconds checkpoint_delay{10'000'000};
    /*! @brief Records kept ahead of the next offset. */
    std::size_t max_ahead{256};
    /*! @brief Folded records kept for children. */
    std::size_t max_buffered{512};
    /*! @brief Bytes of folded records kept for children. */
    std::size_t max_buffered_bytes{1'024 * 1'024};
    /*! @brief Outcomes kept for status. */
    std::size_t max_outcomes{32};
};

/*! @brief A record on its way between nodes. */
struct offered_record {
    /*! @brief The record. */
    log_record record{};
    /*! @brief Value of `record_digest` at the node that read the record from the log. */
    std::uint64_t digest{};
};

/**
 * @brief Computes the digest of a record from its offset and payload.
 * @param record The record.
 * @return The digest.
 */
[[nodiscard]] std::uint64_t record_digest(const log_record& record) noexcept;

/*! @brief The folded state of a node with what it passes on. Not copyable because of the version gate. */
struct replica {
    /*! @brief Settings. */
    replica_settings settings{};
    /*! @brief Fold of the records below `state.next_offset`. */
    config_state state{};
    /*! @brief Version in force. */
    version_gate gate{};
    /*! @brief False while the node starts. A stale parent must not take it back behind the version that it
     * held before its restart, and the version floor may not be known yet. */
    bool may_install{};
    /*! @brief Records above the next offset. */
    std::map<log_offset, std::string> ahead{};
    /*! @brief Last folded records in order of offset, for children. */
    std::deque<log_record> buffer{};
    /*! @brief Bytes in `buffer`. */
    std::size_t buffered_bytes{};
    /*! @brief Retained range of the log as last heard. */
    log_bounds bounds{};
    /*! @brief True if a record of a newer format stopped the fold. */
    bool stopped{};
    /*! @brief True if records that this replica has not folded have expired. */
    bool gap{};
    /*! @brief Last outcomes, oldest first. */
    std::deque<fold_outcome> outcomes{};
    /*! @brief Offset of the intact checkpoint that covers most. */
    std::optional<log_offset> checkpoint_offset{};
    /*! @brief Records below this offset are covered by it. */
    log_offset checkpoint_covers{};
    /*! @brief Time of that checkpoint, or of the first record if there is none. */
    std::optional<timestamp> checkpoint_seen{};
    /*! @brief Time at which this node writes a checkpoint unless another node does. */
    std::optional<timestamp> checkpoint_due{};
    /*! @brief Last reason why something offered was not used. */
    std::string last_reason{};
};

/*! @brief What an offer changed. */
struct replica_change {
    /*! @brief Number of records folded. */
    std::size_t folded{};
    /*! @brief True if the whole state was replaced. */
    bool replaced{};
    /*! @brief Records that failed the digest check or did not fit ahead. */
    std::size_t rejected{};
    /*! @brief New configuration in force. */
    std::optional<effective_config> installed{};
};

/**
 * @brief Offers records of another node, in any order.
 *
 * Records below the next offset are ignored. Records above it are kept until those between have arrived.
 *
 * @param replica The replica.
 * @param records The records.
 * @param now Current time.
 * @return What changed.
 */
replica_change offer_records(replica& replica, const std::vector<offered_record>& records, timestamp now);

/**
 * @brief Offers a batch read from the log.
 * @param replica The replica. `gap` is set if records have expired that it has not folded.
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
 * @return What changed. Without an acceptable checkpoint nothing does, and the gap remains.
 */
replica_change offer_retained(replica& replica, const log_batch& batch, timestamp now);

/**
 * @brief Offers the state of another node.
 * @param replica The replica.
 * @param state Text made by `make_checkpoint_record`.
 * @param state_digest Digest of the text at its sender.
 * @param now Current time.
 * @return What changed. A state that does not go beyond the own one is ignored.
 */
replica_change offer_snapshot(replica& replica, std::string_view state, std::uint64_t state_digest,
                              timestamp now);

/**
 * @brief Ends the start of the node: versions are put in force from now on.
 * @param replica The replica.
 * @return What changed.
 */
replica_change allow_install(replica& replica);

/**
 * @brief Raises the version floor.
 * @param replica The replica.
 * @param floor Version that this node held before its restart.
 */
void raise_version_floor(replica& replica, config_version floor);

/**
 * @brief Returns the offset of the next record to fold.
 * @param replica The replica.
 * @return The offset.
 */
[[nodiscard]] log_offset next_offset(const replica& replica) noexcept;

/**
 * @brief Returns the records from an offset on.
 * @param replica The replica.
 * @param from The offset.
 * @return The records, or nothing if some of them are no longer buffered and a snapshot is needed.
 */
[[nodiscard]] std::optional<std::vector<log_record>> records_since(const replica& replica, log_offset from);

/**
 * @brief Decides whether this node writes a checkpoint now.
 * @param replica The replica.
 * @param log_current True if the log was read to its end a short time ago.
 * @param now Current time.
 * @param rng Random engine.
 * @return Payload to append, or nothing. If the record is not seen in the log, the payload is returned again
 * after another delay.
 */
[[nodiscard]] std::optional<std::string> plan_checkpoint(replica& replica, bool log_current, timestamp now,
                                                         random_engine& rng);

} // namespace kumquatdrift

#endif
