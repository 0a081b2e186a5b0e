#ifndef KUMQUATDRIFT_CONFIG_RECOVERY_HPP
#define KUMQUATDRIFT_CONFIG_RECOVERY_HPP

#include <cstdint>
#include <optional>
#include <vector>

#include <kumquatdrift/config/fold.hpp>
#include <kumquatdrift/config/state.hpp>

namespace kumquatdrift {

/*! @brief Where a recovery starts to fold. */
enum class recovery_start : std::uint8_t {
    /*! @brief At the checkpoint that covers most, which is the least work. */
    latest,
    /*! @brief At the start of the log or the checkpoint that covers least, to see the most outcomes. */
    earliest,
};

/*! @brief A recovered state. */
struct recovered_config {
    /*! @brief The state. */
    config_state state{};
    /*! @brief Offset of the checkpoint that was used; nothing if the fold started at offset 0. */
    std::optional<log_offset> checkpoint{};
    /*! @brief Outcomes of the records that were folded. The last one is `unsupported` if the fold stopped. */
    std::vector<fold_outcome> outcomes{};
};

/**
 * @brief Recovers the state from the retained records.
 *
 * A checkpoint is used only if it is intact, covers no record after itself, and covers at least everything
 * that has expired.
 *
 * @param batch All retained records without gaps, with the bounds.
 * @param start Which acceptable checkpoint to start from.
 * @return The state, or a reason if records have expired and no checkpoint makes up for them.
 */
[[nodiscard]] result<recovered_config> recover(const log_batch& batch,
                                               recovery_start start = recovery_start::latest);

} // namespace kumquatdrift

#endif
