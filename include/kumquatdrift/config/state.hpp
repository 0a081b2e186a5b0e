#ifndef KUMQUATDRIFT_CONFIG_STATE_HPP
#define KUMQUATDRIFT_CONFIG_STATE_HPP

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include <kumquatdrift/config/document.hpp>
#include <kumquatdrift/config/fwd.hpp>
#include <kumquatdrift/config/types.hpp>
#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/log/port.hpp>

namespace kumquatdrift {

/*! @brief Largest number of edit ids kept to detect duplicates. A copy of an accepted edit has a stale parent
 * anyway, so an evicted id only changes the reported outcome from `duplicate` to `lost_race`, or lets an
 * invalid edit be evaluated again. 256 ids cover about six hours at the expected 1,100 edits a day. */
inline constexpr std::size_t max_recent_edits = 256;

/*! @brief Accepted content of one document. */
struct document_state {
    /*! @brief Content. */
    json_document content{};
    /*! @brief Offset of the accepted edit, which is the parent of the next edit. */
    log_offset offset{};
    /*! @brief Id of the accepted edit. */
    std::string edit_id{};
    /*! @brief Author of the accepted edit. */
    std::string author{};

    /*! @brief Compares all members. */
    bool operator==(const document_state&) const = default;
};

/*! @brief Id and offset of a recent edit, kept to detect duplicates. */
struct recent_edit {
    /*! @brief Offset of the first record with the id. */
    log_offset offset{};
    /*! @brief Edit id. */
    std::string edit_id{};

    /*! @brief Compares all members. */
    bool operator==(const recent_edit&) const = default;
};

/*! @brief State that results from folding a prefix of the log. */
struct config_state {
    /*! @brief All records below this offset are folded. */
    log_offset next_offset{};
    /*! @brief Offset of the last accepted edit plus one, 0 for none. */
    config_version version{};
    /*! @brief Accepted documents by name. */
    std::map<std::string, document_state> documents{};
    /*! @brief Most recent edits in order of offset, whatever their outcome. */
    std::deque<recent_edit> recent_edits{};

    /*! @brief Compares all members. */
    bool operator==(const config_state&) const = default;
};

/**
 * @brief Finds a document.
 * @param state Folded state.
 * @param document Document name.
 * @return The document, or null if it does not exist. Valid until the state changes or is destroyed.
 */
[[nodiscard]] const document_state* find_document(const config_state& state, std::string_view document);

/**
 * @brief Merges the base with the overlay of a data centre into a typed configuration.
 * @param state Folded state.
 * @param data_centre Name of the data centre. If it has no overlay, the result is the base.
 * @return The effective configuration, or a reason if no base has been accepted yet.
 */
[[nodiscard]] result<effective_config> merge_effective(const config_state& state,
                                                       std::string_view data_centre);

/**
 * @brief Merges the base with the overlay of a data centre into a document.
 * @param state Folded state.
 * @param data_centre Name of the data centre. If it has no overlay, the result is the base.
 * @return The merged document, or a reason if no base has been accepted yet.
 */
[[nodiscard]] result<json_document> merge_document(const config_state& state, std::string_view data_centre);

} // namespace kumquatdrift

#endif
