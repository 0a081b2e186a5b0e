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

/*! @brief Number of claim partitions; each has a stream of its own. */
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
 * @brief Returns the stream of a partition.
 * @param partition Number of the partition.
 * @return Name of the stream, for example `claims-07`.
 */
[[nodiscard]] std::string claim_stream(std::size_t partition);

/*! @brief Kind of an entry in a claim record. */
enum class claim_entry_kind : std::uint8_t {
    /*! @brief An attempt claims a key. */
    claim,
    /*! @brief An attempt that held the key was answered. */
    completed,
    /*! @brief An attempt will certainly not run. */
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
    /*! @brief Answer. Present only if the kind is `completed`. */
    std::optional<stored_answer> answer{};
};

/*! @brief A claim record: the entries of one batch. */
struct claim_record {
    /*! @brief The writer had read every retained record below this offset when it wrote the record. */
    log_offset read_to{};
    /*! @brief Entries in order. */
    std::vector<claim_entry> entries{};
};

/*! @brief Why a record could not be decoded. */
enum class claim_decode_error : std::uint8_t {
    /*! @brief It is not a claim record. It cannot have been written by a node, so it holds no claim. */
    invalid,
    /*! @brief It is of a newer format and may hold claims on any key. */
    unsupported,
};

/*! @brief A decoded record, or why there is none. */
struct decoded_claim_record {
    /*! @brief The record, if it could be decoded. */
    std::optional<claim_record> record{};
    /*! @brief The error, if it could not. */
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
    /*! @brief Shortest time for which a batch collects claims, while appends are rare. */
    microseconds min_batch_wait{2'000};
    /*! @brief Time for which a batch collects claims at the rate limit; longer only beyond it. */
    microseconds max_batch_wait{20'000};
    /*! @brief Appends a second. The log takes some 400 for the whole mesh, shared by 32 partitions. */
    double appends_per_second{12.5};
    /*! @brief Appends that may follow each other without regard to the rate. */
    double append_burst{25.0};
    /*! @brief Time for which a batch of completions and releases alone collects entries. */
    microseconds follow_up_wait{50'000};
    /*! @brief Entries in one record. */
    std::size_t max_batch_entries{256};
    /*! @brief Longest time that a claim waits. It must be well below the retention of the log: a claim that
     * is granted after its own record has expired protects nothing. */
    microseconds max_wait{30'000'000};
    /*! @brief Claims that wait for a decision. */
    std::size_t max_waiting{4'096};
    /*! @brief Completions and releases that wait to be written. */
    std::size_t max_follow_ups{8'192};
    /*! @brief Keys held in memory. Further claims are answered `unavailable` until records expire. */
    std::size_t max_keys{65'536};
    /*! @brief Bytes of stored bodies held in memory. The oldest bodies are dropped first. */
    std::size_t max_body_bytes{4ULL * 1'024 * 1'024};
    /*! @brief Records in one read. */
    std::size_t read_limit{256};
    /*! @brief Time between reads of an idle partition, which learn of other owners and of expiry. */
    microseconds tail_interval{5'000'000};
    /*! @brief Delay before the log is tried again after a failure. */
    backoff_policy retry{microseconds{20'000}, microseconds{1'000'000}};
};

/*! @brief An attempt whose claim on a key is in the log and is not released. */
struct claim_holder {
    /*! @brief Id of the attempt. */
    std::string attempt{};
    /*! @brief Offset of its claim. */
    log_offset offset{};
    /*! @brief True if it was certainly the first claim, so that it may be granted. */
    bool first{};
};

/*! @brief What the retained log says of one key. */
struct claim_key_state {
    /*! @brief Attempts in order of offset. The key is free only if there is none and no answer. */
    std::vector<claim_holder> holders{};
    /*! @brief Answer of the completed attempt. */
    std::optional<stored_answer> answer{};
    /*! @brief Offset of the newest record that concerns the key. */
    log_offset newest{};
};

/*! @brief A claim that waits for a decision. */
struct waiting_claim {
    /*! @brief Number that the adapter gave to the request. */
    std::uint64_t ticket{};
    /*! @brief The request, with the deadline by this node's clock. */
    claim_request request{};
    /*! @brief Time of arrival. */
    timestamp arrived{};
    /*! @brief True once a record with the claim was, or may have been, appended. */
    bool recorded{};
    /*! @brief True while an append with the claim is in progress. */
    bool in_flight{};
};

/*! @brief Decision on a waiting claim. */
struct claim_decision {
    /*! @brief Number that the adapter gave to the request. */
    std::uint64_t ticket{};
    /*! @brief The answer. */
    claim_answer answer{};
    /*! @brief True if the log holds, or may come to hold, a claim of the attempt. Unless granted, the
     * entry node then releases it. */
    bool recorded{};
};

/*! @brief Counters of a partition. */
struct claim_counters {
    /*! @brief Appends tried. */
    std::uint64_t appends{};
    /*! @brief Appends whose answer was lost. */
    std::uint64_t lost_answers{};
    /*! @brief Reads tried. */
    std::uint64_t reads{};
    /*! @brief Records that did not decode. */
    std::uint64_t invalid_records{};
    /*! @brief Completions and releases dropped because the queue was full. */
    std::uint64_t dropped_follow_ups{};
};

/*! @brief State of a partition at a node that acts as its owner. */
struct claim_partition {
    /*! @brief Limits. */
    claim_limits limits{};
    /*! @brief Offset of the next record to fold. Every retained record below it was folded. */
    log_offset next{};
    /*! @brief Oldest retained offset, as far as known. */
    log_offset earliest{};
    /*! @brief True if the stream has been read to its end since the last event that left doubt. */
    bool synchronised{};
    /*! @brief Offset after the newest record of a newer format, 0 if there is none. */
    log_offset unsupported_below{};
    /*! @brief Keys with a retained record. */
    std::unordered_map<std::string, claim_key_state> keys{};
    /*! @brief Released attempts with the offset of the newest release. */
    std::unordered_map<std::string, log_offset> released{};
    /*! @brief Folded keys and releases in order of offset, for expiry. */
    std::deque<std::pair<log_offset, std::string>> key_expiry{};
    /*! @brief Released attempts in order of offset, for expiry. */
    std::deque<std::pair<log_offset, std::string>> release_expiry{};
    /*! @brief Keys with a stored body, oldest first. */
    std::deque<std::string> bodies{};
    /*! @brief Bytes of all stored bodies. */
    std::size_t body_bytes{};
    /*! @brief Claims without a decision, in order of arrival. */
    std::deque<waiting_claim> waiting{};
    /*! @brief Completions and releases to write, with the time of arrival. */
    std::deque<std::pair<timestamp, claim_entry>> follow_ups{};
    /*! @brief Record of the append that the adapter runs. */
    std::optional<claim_record> in_flight{};
    /*! @brief Number of follow-ups contained in `in_flight`. */
    std::size_t follow_ups_in_flight{};
    /*! @brief Decisions that the adapter has not taken yet. */
    std::vector<claim_decision> decisions{};
    /*! @brief Limiter of appends. */
    token_bucket appends{12.5, 25.0};
    /*! @brief Failures of the log since its last answer. */
    std::uint32_t failures{};
    /*! @brief Time before which the log is not tried again. */
    timestamp retry_at{};
    /*! @brief Time of the last read. */
    std::optional<timestamp> last_read{};
    /*! @brief Last error of the log. */
    std::string last_reason{};
    /*! @brief Counters. */
    claim_counters counters{};
};

/*! @brief What the owner does next. */
enum class claim_step_kind : std::uint8_t {
    /*! @brief Waits until `wake` or the next request. */
    wait,
    /*! @brief Reads `limit` records from offset `from` on, without waiting for new ones. */
    read,
    /*! @brief Appends `payload`. */
    append,
};

/*! @brief Next step of the owner. */
struct claim_step {
    /*! @brief Kind. */
    claim_step_kind kind{claim_step_kind::wait};
    /*! @brief Time of the next step if nothing arrives. */
    timestamp wake{};
    /*! @brief First offset to read. */
    log_offset from{};
    /*! @brief Number of records to read. */
    std::size_t limit{};
    /*! @brief Text to append. */
    std::string payload{};
};

/**
 * @brief Makes the state of a partition that has read nothing yet.
 * @param limits Limits.
 * @return The state.
 */
[[nodiscard]] claim_partition make_claim_partition(const claim_limits& limits);

/**
 * @brief Adds a claim. Its decision appears in `decisions` later, or at once.
 * @param partition The partition.
 * @param ticket Number by which the adapter finds the request.
 * @param request The request, with the deadline by this node's clock.
 * @param now Current time.
 */
void submit_claim(claim_partition& partition, std::uint64_t ticket, claim_request request, timestamp now);

/**
 * @brief Adds a completion or a release.
 * @param partition The partition.
 * @param entry The entry.
 * @param now Current time.
 * @return False if the queue is full; the entry was dropped and counted.
 */
bool submit_follow_up(claim_partition& partition, claim_entry entry, timestamp now);

/**
 * @brief Decides the next step. The adapter runs it and reports its result before it asks again.
 * @param partition The partition.
 * @param now Current time.
 * @return The step.
 */
[[nodiscard]] claim_step next_claim_step(claim_partition& partition, timestamp now);

/**
 * @brief Reports the result of a read.
 * @param partition The partition.
 * @param batch Answer of the log.
 * @param now Current time.
 * @param rng Random engine.
 */
void on_claim_read(claim_partition& partition, const result<log_batch>& batch, timestamp now,
                   random_engine& rng);

/**
 * @brief Reports the result of an append.
 * @param partition The partition.
 * @param outcome Answer of the log.
 * @param now Current time.
 * @param rng Random engine.
 */
void on_claim_append(claim_partition& partition, const append_result& outcome, timestamp now,
                     random_engine& rng);

/**
 * @brief Answers the claims whose deadline has passed.
 * @param partition The partition.
 * @param now Current time.
 */
void expire_waiting_claims(claim_partition& partition, timestamp now);

/**
 * @brief Removes and returns the decisions made so far.
 * @param partition The partition.
 * @return The decisions.
 */
[[nodiscard]] std::vector<claim_decision> take_claim_decisions(claim_partition& partition);

} // namespace kumquatdrift

#endif
