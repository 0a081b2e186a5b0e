#ifndef KUMQUATDRIFT_CLAIMS_OWNERS_HPP
#define KUMQUATDRIFT_CLAIMS_OWNERS_HPP

#include <array>
#include <cstddef>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <kumquatdrift/claims/service.hpp>

namespace kumquatdrift::internal {

/*! @brief A node that acts as owner of a partition. */
struct owner_node {
    /*! @brief Name of the node. */
    std::string node{};
    /*! @brief IP address and control port. */
    std::string address{};
};

/*! @brief Number of nodes that act as owner of a partition. The second takes over while the first does not
 * respond but is not declared dead yet. */
inline constexpr std::size_t owners_per_partition = 2;

/**
 * @brief Ranks the live nodes of a view for a partition.
 * @param view Member view.
 * @param partition Number of the partition.
 * @return The owners in order of rank; the node that holds the view if no node is live.
 */
[[nodiscard]] std::vector<owner_node> rank_owners(const member_view& view, std::size_t partition);

/*! @brief Cache of the owners of each partition. Ranking 2,400 nodes takes longer than a claim. Thread-safe.
 */
class owner_table {
public:
    /**
     * @brief Constructs an empty table.
     * @param current_view Returns the current member view.
     */
    explicit owner_table(claim_service::view_function current_view);

    /**
     * @brief Returns the owners of a partition in order of rank.
     * @param partition Number of the partition.
     * @return The owners.
     */
    [[nodiscard]] std::vector<owner_node> owners_of(std::size_t partition);

private:
    struct cached_owners {
        std::uint64_t generation{};
        timestamp computed_at{};
        std::vector<owner_node> owners{};
    };

    claim_service::view_function view;
    std::mutex mutex{};
    std::array<std::optional<cached_owners>, claim_partitions> cache{};
};

} // namespace kumquatdrift::internal

#endif
