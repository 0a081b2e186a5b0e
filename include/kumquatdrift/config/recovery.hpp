#ifndef KUMQUATDRIFT_CONFIG_RECOVERY_HPP
#define KUMQUATDRIFT_CONFIG_RECOVERY_HPP

#include <cstdint>
#include <optional>
#include <vector>

#include <kumquatdrift/config/fold.hpp>
#include <kumquatdrift/config/state.hpp>

namespace kumquatdrift {

/*! @brief Where a recovery starts to fold records. */
enum class recovery_start : std::uint8_t {
    /*! @brief At the checkpoint that covers the most records, so that the fewest are folded. */
    latest,
    /*! @brief At the start of the log or, if records have expired, at the checkpoint that covers the fewest
     * records, to report the most outcomes. */
    earliest,
};

/*! @brief A recovered state and the outcomes of the records folded to reach it. */
struct recovered_config {
    /*! @brief The state. */
    config_state state{};
    /*! @brief Offset of the checkpoint that was used; absent if folding started at offset 0. */
    std::optional<log_offset> checkpoint{};
    /*! @brief Outcomes of the folded records. The last one is `unsupported` if folding stopped there. */
    std::vector<fold_outcome> outcomes{};
};

/**
 * @brief Recovers the state from the retained records.
 *
 * A checkpoint is used only if it is intact, does not claim to cover records after itself, and covers
 * at least all expired records.
 *
 * @param batch All retained records without gaps, and the bounds of the log.
 * @param start Where to start to fold records.
 * @return The state, or a reason if records have expired and no usable checkpoint covers them.
 */
[[nodiscard]] result<recovered_config> recover(const log_batch& batch,
                                               recovery_start start = recovery_start::latest);

} // namespace kumquatdrift

#endif
