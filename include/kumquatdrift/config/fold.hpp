#ifndef KUMQUATDRIFT_CONFIG_FOLD_HPP
#define KUMQUATDRIFT_CONFIG_FOLD_HPP

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <kumquatdrift/config/state.hpp>
#include <kumquatdrift/core/enum_names.hpp>

namespace kumquatdrift {

/*! @brief Effect of a record on the configuration state. */
enum class outcome_kind : std::uint8_t {
    /*! @brief The edit is in force from this offset on. */
    accepted,
    /*! @brief The edit is based on an older version of the document than the last accepted one. */
    lost_race,
    /*! @brief The record cannot be decoded, or the edit would make a configuration invalid. */
    invalid,
    /*! @brief A recent record has the same edit id. */
    duplicate,
    /*! @brief A checkpoint, which does not change the documents. */
    checkpoint,
    /*! @brief A record of a newer format. Folding stops before it until the node is upgraded. */
    unsupported,
};

/*! @brief Names of the outcomes. */
template<>
struct enum_names<outcome_kind> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<outcome_kind, std::string_view>, 6> table{{
        {outcome_kind::accepted, "accepted"},
        {outcome_kind::lost_race, "lost_race"},
        {outcome_kind::invalid, "invalid"},
        {outcome_kind::duplicate, "duplicate"},
        {outcome_kind::checkpoint, "checkpoint"},
        {outcome_kind::unsupported, "unsupported"},
    }};
};

/*! @brief Outcome of folding one record. */
struct fold_outcome {
    /*! @brief Effect of the record. */
    outcome_kind kind{outcome_kind::invalid};
    /*! @brief Offset of the record. */
    log_offset offset{};
    /*! @brief Document of an edit that could be decoded. */
    std::string document{};
    /*! @brief Id of an edit that could be decoded. */
    std::string edit_id{};
    /*! @brief Author of an edit that could be decoded. */
    std::string author{};
    /*! @brief Parent of an edit that could be decoded; absent if the edit creates its document. */
    std::optional<log_offset> parent{};
    /*! @brief Reason why the record was not accepted. */
    std::string reason{};
};

/**
 * @brief Folds the next record of the stream into the state.
 *
 * The result depends only on the state and the record, so that all nodes compute the same state.
 *
 * @param state State to update. Left unchanged if the outcome is `unsupported`.
 * @param record The record. If its offset is not `state.next_offset`, the outcome is `invalid` and the state
 * is left unchanged.
 * @return The outcome.
 */
fold_outcome fold(config_state& state, const log_record& record);

} // namespace kumquatdrift

#endif
