#ifndef KUMQUATDRIFT_CLAIMS_STATE_HPP
#define KUMQUATDRIFT_CLAIMS_STATE_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include <kumquatdrift/claims/port.hpp>
#include <kumquatdrift/core/backoff.hpp>
#include <kumquatdrift/core/enum_names.hpp>
#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/core/token_bucket.hpp>
#include <kumquatdrift/log/port.hpp>

namespace kumquatdrift {

/*! @brief Number of claim partitions. Each has its own stream in the log. */
inline constexpr std::size_t claim_partitions = 32;

/*! @brief Longest idempotency key in bytes. */
inline constexpr std::size_t max_claim_key_bytes = 256;

/*! @brief Largest body that is stored with a completed claim, in bytes. */
inline constexpr std::size_t max_stored_body_bytes = 4'096;

/**
 * @brief Checks an idempotency key.
 * @param key The key.
 * @return True if it has 1 to `max_claim_key_bytes` printable ASCII characters.
 */
[[nodiscard]] bool is_valid_claim_key(std::string_view key) noexcept;

/**
 * @brief Returns the partition of a key.
 * @param route Name of the route.
 * @param key Idempotency key.
 * @return A number below `claim_partitions`.
 */
[[nodiscard]] std::size_t claim_partition_of(std::string_view route, std::string_view key) noexcept;

/**
 * @brief Returns the log stream of a partition.
 * @param partition Number of the partition.
 * @return Name of the stream, for example `claims-07`.
 */
[[nodiscard]] std::string claim_stream(std::size_t partition);

/*! @brief Kind of an entry in a claim record. */
enum class claim_entry_kind : std::uint8_t {
    /*! @brief An attempt claims a key. */
    claim,
    /*! @brief The attempt that held the key got a response. */
    completed,
    /*! @brief The attempt certainly does not run; its claim is withdrawn. */
    released,
};

/*! @brief Names of the entry kinds, as written in records. */
template<>
struct enum_names<claim_entry_kind> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<claim_entry_kind, std::string_view>, 3> table{{
        {claim_entry_kind::claim, "claim"},
        {claim_entry_kind::completed, "completed"},
        {claim_entry_kind::released, "released"},
    }};
};

/*! @brief One entry of a claim record. */
struct claim_entry {
    /*! @brief Kind of the entry. */
    claim_entry_kind kind{claim_entry_kind::claim};
    /*! @brief Name of the route. */
    std::string route{};
    /*! @brief Idempotency key. */
    std::string key{};
    /*! @brief Id of the attempt. */
    std::string attempt{};
    /*! @brief Response. Present only if the kind is `completed`. */
    std::optional<stored_response> response{};
};

/*! @brief A claim record: the entries of one append. */
struct claim_record {
    /*! @brief When the writer created the record, it had read every retained record below this offset. */
    log_offset read_to{};
    /*! @brief Entries in order. */
    std::vector<claim_entry> entries{};
};

/*! @brief Why a record could not be decoded. */
enum class claim_decode_error : std::uint8_t {
    /*! @brief Not a claim record. No node can have written it, so it holds no claim. */
    invalid,
    /*! @brief Written in a newer format; it may hold claims on any key. */
    unsupported,
};

/*! @brief A decoded record, or the reason why decoding failed. */
struct decoded_claim_record {
    /*! @brief The record, if decoding succeeded. */
    std::optional<claim_record> record{};
    /*! @brief The error, if decoding failed. */
    claim_decode_error error{claim_decode_error::invalid};
};

/**
 * @brief Encodes a record as JSON text.
 * @param record The record.
 * @return The text.
 */
[[nodiscard]] std::string encode_claim_record(const claim_record& record);

/**
 * @brief Decodes a record.
 * @param payload Text of the record.
 * @return The record or the error.
 */
[[nodiscard]] decoded_claim_record decode_claim_record(std::string_view payload);

/*! @brief Limits of a partition at its owner. */
struct claim_limits {
    /*! @brief Shortest time for which a batch collects claims; applies while appends are rare. */
    microseconds min_batch_wait{2'000};
    /*! @brief Time for which a batch collects claims once the append burst is used up. A batch takes longer
     * only while the append rate is exceeded. */
    microseconds max_batch_wait{20'000};
    /*! @brief Appends per second. The log handles about 400 for the whole mesh, shared by 32 partitions. */
    double appends_per_second{12.5};
    /*! @brief Largest burst of appends above the rate. */
    double append_burst{25.0};
    /*! @brief Time for which a batch that holds only completions and releases collects entries. */
    microseconds follow_up_batch_wait{50'000};
    /*! @brief Largest number of entries in one record. */
    std::size_t max_batch_entries{256};
    /*! @brief Longest time that a claim is queued. It must be well below the retention of the log: once the
     * record of a claim has expired, a grant of that claim no longer protects the key. */
    microseconds max_queue_time{30'000'000};
    /*! @brief Largest number of queued claims. */
    std::size_t max_queued_claims{4'096};
    /*! @brief Largest number of queued completions and releases. */
    std::size_t max_queued_follow_ups{8'192};
    /*! @brief Largest number of keys in memory. Further claims are `unavailable` until records expire. */
    std::size_t max_keys{65'536};
    /*! @brief Largest total size of the stored bodies in memory. The oldest bodies are evicted first. */
    std::size_t max_body_bytes{4ULL * 1'024 * 1'024};
    /*! @brief Largest number of records in one read. */
    std::size_t read_limit{256};
    /*! @brief Time after a read at which the stream is read again, to find records of other owners and
     * expired records. */
    microseconds tail_interval{5'000'000};
    /*! @brief Delay before a failed log operation is retried. */
    backoff_policy retry{microseconds{20'000}, microseconds{1'000'000}};
};

/*! @brief An attempt whose claim on a key is in the log and was not released. */
struct claim_holder {
    /*! @brief Id of the attempt. */
    std::string attempt{};
    /*! @brief Offset of the newest record with its claim. */
    log_offset offset{};
    /*! @brief True if it certainly was the first claim on the key. Only such a claim is granted. */
    bool is_first{};
};

/*! @brief State of one key according to the retained log. */
struct claim_key_state {
    /*! @brief Attempts in order of offset. The key is free if there is neither a holder nor a response. */
    std::vector<claim_holder> holders{};
    /*! @brief Response to the completed attempt. */
    std::optional<stored_response> response{};
    /*! @brief Offset of the newest record with a claim on the key or its completion. */
    log_offset newest_offset{};
};

/*! @brief A queued claim without a decision. */
struct queued_claim {
    /*! @brief Number that the caller of `submit_claim` assigned to the claim. */
    std::uint64_t ticket{};
    /*! @brief The request, with the deadline by this node's clock. */
    claim_request request{};
    /*! @brief Time of arrival. */
    timestamp arrived_at{};
    /*! @brief True once a record with the claim was, or may have been, appended. */
    bool recorded{};
    /*! @brief True while an append with the claim is in progress. */
    bool in_flight{};
};

/*! @brief Decision on a claim. */
struct claim_decision {
    /*! @brief Number that the caller of `submit_claim` assigned to the claim. */
    std::uint64_t ticket{};
    /*! @brief The decision as it is returned to the caller. */
    claim_result result{};
    /*! @brief True if the log holds a claim of the attempt, or may still receive it. Unless it was granted,
     * the entry node then releases it. */
    bool recorded{};
};

/*! @brief Counters of a partition. */
struct claim_counters {
    /*! @brief Appends started. */
    std::uint64_t appends{};
    /*! @brief Appends whose response was lost, so that their effect is unknown. */
    std::uint64_t lost_responses{};
    /*! @brief Reads started. */
    std::uint64_t reads{};
    /*! @brief Records that could not be decoded. */
    std::uint64_t invalid_records{};
    /*! @brief Completions and releases discarded because the queue was full. */
    std::uint64_t discarded_follow_ups{};
};

/*! @brief State of a partition at a node that acts as its owner. Performs no I/O: its user runs the log
 * operations that `next_claim_step` requests. */
struct claim_partition {
    /*! @brief Limits. */
    claim_limits limits{};
    /*! @brief Offset of the next record to fold into the state. Every retained record below it is folded. */
    log_offset next_offset{};
    /*! @brief Oldest retained offset at the last read. */
    log_offset earliest_offset{};
    /*! @brief True if the stream was read to its end and nothing has indicated unread records since. */
    bool synchronised{};
    /*! @brief Offset after the last record in an unsupported newer format; 0 if there was none. */
    log_offset unsupported_end{};
    /*! @brief Keys with a retained record. */
    std::unordered_map<std::string, claim_key_state> keys{};
    /*! @brief Released attempts with the offset of their newest release. */
    std::unordered_map<std::string, log_offset> released_attempts{};
    /*! @brief Keys in order of the offset of their records, for expiry. */
    std::deque<std::pair<log_offset, std::string>> key_expiry{};
    /*! @brief Released attempts in order of offset, for expiry. */
    std::deque<std::pair<log_offset, std::string>> release_expiry{};
    /*! @brief Keys with a stored body, oldest first. */
    std::deque<std::string> stored_bodies{};
    /*! @brief Total size of the stored bodies in bytes. */
    std::size_t stored_body_bytes{};
    /*! @brief Claims without a decision, in order of arrival. */
    std::deque<queued_claim> queued_claims{};
    /*! @brief Completions and releases to write, with their times of arrival. */
    std::deque<std::pair<timestamp, claim_entry>> queued_follow_ups{};
    /*! @brief Record of the append in progress. */
    std::optional<claim_record> in_flight{};
    /*! @brief Number of completions and releases in `in_flight`. */
    std::size_t follow_ups_in_flight{};
    /*! @brief Decisions not yet fetched by `take_claim_decisions`. */
    std::vector<claim_decision> decisions{};
    /*! @brief Rate limiter of appends. */
    token_bucket append_limiter{12.5, 25.0};
    /*! @brief Failed log operations since the last success. */
    std::uint32_t consecutive_failures{};
    /*! @brief Earliest time of the next log operation after a failure. */
    timestamp retry_at{};
    /*! @brief Time of the last successful read. */
    std::optional<timestamp> last_read{};
    /*! @brief Error of the last failed log operation; empty after a success. */
    std::string last_log_error{};
    /*! @brief Counters. */
    claim_counters counters{};
};

/*! @brief Kind of the next step of an owner. */
enum class claim_step_kind : std::uint8_t {
    /*! @brief Wait until `wake_at` or the next submission. */
    wait,
    /*! @brief Read up to `limit` records from offset `from`, without waiting for new ones. */
    read,
    /*! @brief Append `payload`. */
    append,
};

/*! @brief Next step of an owner. */
struct claim_step {
    /*! @brief Kind. */
    claim_step_kind kind{claim_step_kind::wait};
    /*! @brief Time of the next step if nothing is submitted before. */
    timestamp wake_at{};
    /*! @brief First offset to read. */
    log_offset from{};
    /*! @brief Largest number of records to read. */
    std::size_t limit{};
    /*! @brief Text to append. */
    std::string payload{};
};

/**
 * @brief Creates the state of a partition that has read no record yet.
 * @param limits Limits.
 * @return The state.
 */
[[nodiscard]] claim_partition make_claim_partition(const claim_limits& limits);

/**
 * @brief Submits a claim. Its decision appears in `decisions` immediately or after a later step.
 * @param partition The partition.
 * @param ticket Number that identifies the claim in its decision. Unique within the partition.
 * @param request The request, with the deadline by this node's clock.
 * @param now Current time.
 */
void submit_claim(claim_partition& partition, std::uint64_t ticket, claim_request request, timestamp now);

/**
 * @brief Submits a follow-up to a claim: a completion or a release.
 * @param partition The partition.
 * @param entry The entry.
 * @param now Current time.
 * @return False if the queue is full. The entry is then discarded and counted in `discarded_follow_ups`.
 */
bool submit_follow_up(claim_partition& partition, claim_entry entry, timestamp now);

/**
 * @brief Returns the next step. The caller performs it and reports its result before the next call.
 * @param partition The partition.
 * @param now Current time.
 * @return The step.
 */
[[nodiscard]] claim_step next_claim_step(claim_partition& partition, timestamp now);

/**
 * @brief Reports the result of a read.
 * @param partition The partition.
 * @param batch Response of the log.
 * @param now Current time.
 * @param rng Random engine.
 */
void on_claim_read(claim_partition& partition, const result<log_batch>& batch, timestamp now,
                   random_engine& rng);

/**
 * @brief Reports the result of an append.
 * @param partition The partition.
 * @param outcome Response of the log.
 * @param now Current time.
 * @param rng Random engine.
 */
void on_claim_append(claim_partition& partition, const append_result& outcome, timestamp now,
                     random_engine& rng);

/**
 * @brief Decides queued claims whose deadline has passed as `unavailable`.
 * @param partition The partition.
 * @param now Current time.
 */
void expire_queued_claims(claim_partition& partition, timestamp now);

/**
 * @brief Removes and returns the pending decisions.
 * @param partition The partition.
 * @return The decisions.
 */
[[nodiscard]] std::vector<claim_decision> take_claim_decisions(claim_partition& partition);

} // namespace kumquatdrift

#endif
