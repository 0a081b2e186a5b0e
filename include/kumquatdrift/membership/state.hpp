#ifndef KUMQUATDRIFT_MEMBERSHIP_STATE_HPP
#define KUMQUATDRIFT_MEMBERSHIP_STATE_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <kumquatdrift/core/random.hpp>
#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/core/token_bucket.hpp>
#include <kumquatdrift/membership/counters.hpp>
#include <kumquatdrift/membership/settings.hpp>
#include <kumquatdrift/membership/table.hpp>
#include <kumquatdrift/membership/types.hpp>

namespace kumquatdrift {

/*! @brief A received datagram. */
struct incoming_datagram {
    /*! @brief Address of the sender. */
    gossip_address from{};
    /*! @brief Payload. */
    std::string_view bytes{};
};

/*! @brief A datagram to be sent. */
struct outgoing {
    /*! @brief Address of the receiver. */
    gossip_address to{};
    /*! @brief Payload, at most `max_datagram_bytes`. */
    std::string bytes{};
};

/*! @brief Number of buckets into which the digest exchange divides the member table. */
inline constexpr std::size_t digest_buckets = 64;

/*! @brief Digests of the member table, one for each bucket. */
struct table_digest {
    /*! @brief Digests of identity, base sequence and death; they cover state, targets and addresses. */
    std::array<std::uint64_t, digest_buckets> records{};
    /*! @brief Digests of the sequences; they also cover the versions. */
    std::array<std::uint64_t, digest_buckets> versions{};

    /*! @brief Compares both arrays. */
    bool operator==(const table_digest&) const = default;
};

/*! @brief An advisory entry, such as a crash suspect, shared between nodes until it expires. */
struct advisory_entry {
    /*! @brief Key, unique in the mesh; at most 64 bytes. */
    std::string key{};
    /*! @brief Value; at most 256 bytes. */
    std::string value{};
    /*! @brief Time at which the entry expires. */
    timestamp expires_at{};
};

/*! @brief Member table, failure detector and gossip queues of one node. Owned by one thread. */
struct membership_state {
    /*! @brief Settings. */
    membership_settings settings{};
    /*! @brief Key of this node in the table. */
    std::uint64_t self{};
    /*! @brief All members by key, this node included. */
    std::unordered_map<std::uint64_t, internal::member> members{};
    /*! @brief Keys of the members by identity (name and start time). */
    std::unordered_map<std::uint64_t, std::uint64_t> keys{};
    /*! @brief Known data centres, this node's own first. Members refer to them by index. */
    std::vector<internal::data_centre_state> data_centres{};
    /*! @brief Failure detector. */
    internal::detector detector{};
    /*! @brief Queued changes of state, targets and status, by key of the member. */
    internal::gossip_queue changes{};
    /*! @brief Queued changes of version only, by key of the member. */
    internal::gossip_queue versions{};
    /*! @brief Queued advisory entries, by digest of the key. */
    internal::gossip_queue advisory_changes{};
    /*! @brief Advisory entries by digest of the key. */
    std::map<std::uint64_t, advisory_entry> advisories{};
    /*! @brief Urgent changes, pushed to several members at the next tick instead of by gossip alone. */
    std::vector<internal::urgent_push> urgent{};
    /*! @brief Addresses for first contact: seeds and contacts from presence records. */
    std::vector<gossip_address> contacts{};
    /*! @brief Time of the next first-contact ping. */
    timestamp next_contact{};
    /*! @brief Time of the next digest exchange. */
    timestamp next_exchange{};
    /*! @brief Number of digest exchanges started. */
    std::uint64_t exchanges_started{};
    /*! @brief Number of completed digest exchanges. */
    std::uint64_t synchronisations{};
    /*! @brief Byte budget of datagrams. */
    token_bucket datagram_budget{0.0, 0.0};
    /*! @brief Byte budget of digest exchanges. */
    token_bucket exchange_budget{0.0, 0.0};
    /*! @brief Highest version in records of earlier processes of this node. */
    config_version version_floor{};
    /*! @brief Number of times this node raised its start time above that of an earlier process. */
    std::uint32_t start_time_raises{};
    /*! @brief Incremented with each change of the table. */
    std::uint64_t generation{};
    /*! @brief Incremented with each change other than of versions; equal values mean the same endpoints. */
    std::uint64_t endpoint_generation{};
    /*! @brief Time of the last call of `on_tick` or `on_datagram`; a gap reveals a pause of the process. */
    std::optional<timestamp> last_call{};
    /*! @brief Cached peers, rebuilt after a change of liveness. */
    internal::peer_cache peers{};
    /*! @brief Counters. */
    membership_counters counters{};
};

/**
 * @brief Creates the state of a node that knows only itself and its seeds.
 * @param settings Settings.
 * @param self Record of this node; its sequence is set to 1.
 * @param now Current time.
 * @return The state, or the reason why the record or the settings are invalid.
 */
[[nodiscard]] result<membership_state> make_membership_state(membership_settings settings, member_record self,
                                                             timestamp now);

/**
 * @brief Updates the record that this node publishes.
 *
 * Name, data centre, start time and sequence of `content` are ignored. A change of version only is propagated
 * with lower priority. A target that starts to drain or is withdrawn, and a node that starts to drain or
 * leaves, are pushed to several members at the next tick.
 *
 * @param state State.
 * @param content New content.
 * @param now Current time.
 * @return True if the record changed, false if not, or the reason why it cannot be published.
 */
[[nodiscard]] result<bool> update_self(membership_state& state, const member_record& content, timestamp now);

/**
 * @brief Processes a received datagram. Invalid datagrams are counted and discarded.
 * @param state State.
 * @param message The datagram.
 * @param now Current time.
 * @param rng Random engine.
 * @return Datagrams to send.
 */
[[nodiscard]] std::vector<outgoing> on_datagram(membership_state& state, const incoming_datagram& message,
                                                timestamp now, random_engine& rng);

/**
 * @brief Runs all timers: probes, suspicion timeouts, pushes, gossip, first contact and expiry. To be called
 * every `tick_period`.
 * @param state State.
 * @param now Current time.
 * @param rng Random engine.
 * @return Datagrams to send.
 */
[[nodiscard]] std::vector<outgoing> on_tick(membership_state& state, timestamp now, random_engine& rng);

/**
 * @brief Computes the digests of the table. Members that have been dead or left for longer than
 * `tombstone_digest_time` are not covered.
 * @param state State.
 * @param now Current time.
 * @return The digests.
 */
[[nodiscard]] table_digest digest_of(const membership_state& state, timestamp now);

/**
 * @brief Merges records of other nodes. A record is accepted only if its (start time, sequence) is higher
 * than that of the known one.
 * @param state State.
 * @param records Records.
 * @param now Current time.
 * @return Number of records accepted.
 */
std::size_t merge_records(membership_state& state, const std::vector<member_record>& records, timestamp now);

/**
 * @brief Copies the table into an immutable view.
 * @param state State.
 * @return The view. Never null.
 */
[[nodiscard]] member_view_ptr view_of(const membership_state& state);

/**
 * @brief Adds an advisory entry and queues it for propagation.
 * @param state State.
 * @param entry The entry.
 * @param now Current time.
 * @return True if the entry is new or extends the lifetime of the known one by more than the delay of
 * propagation; false if not, if it is invalid or if the table is full.
 */
bool add_advisory(membership_state& state, const advisory_entry& entry, timestamp now);

/**
 * @brief Adds addresses for first contact. Above a limit, the oldest are removed.
 * @param state State.
 * @param contacts Addresses of gossip endpoints.
 */
void add_contacts(membership_state& state, const std::vector<gossip_address>& contacts);

} // namespace kumquatdrift

#endif
