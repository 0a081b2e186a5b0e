#ifndef KUMQUATDRIFT_CONFIG_RECORDS_HPP
#define KUMQUATDRIFT_CONFIG_RECORDS_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <kumquatdrift/config/state.hpp>

namespace kumquatdrift {

/*! @brief Format of the records that this release writes, and the highest that it reads. Any change to the
 * outcome of a fold, validation included, requires a higher format: otherwise nodes of different releases
 * would disagree on which edits are accepted. */
inline constexpr std::uint64_t record_format = 1;

/*! @brief An edit of one document. Exactly one of `content` and `patch` is present. */
struct edit_record {
    /*! @brief Document name. */
    std::string document{};
    /*! @brief Offset of the accepted edit that this one is based on; absent for a new document. */
    std::optional<log_offset> parent{};
    /*! @brief Unique id of the edit, 1 to 64 characters; the same in every copy of the record. */
    std::string edit_id{};
    /*! @brief Author, up to 128 bytes. */
    std::string author{};
    /*! @brief New content of the document. */
    std::optional<json_document> content{};
    /*! @brief Merge patch against the content of the parent. Only for the base: a merge patch cannot set a
     * member to null, and overlays use null. */
    std::optional<json_document> patch{};
};

/**
 * @brief Encodes an edit.
 * @param edit The edit.
 * @return Payload of the log record.
 */
[[nodiscard]] std::string make_edit_record(const edit_record& edit);

/**
 * @brief Encodes a checkpoint that covers all records below `state.next_offset`. A state is sent to other
 * nodes in the same encoding.
 * @param state Folded state.
 * @return Payload of the log record.
 */
[[nodiscard]] std::string make_checkpoint_record(const config_state& state);

/**
 * @brief Decodes and verifies a checkpoint: digest, documents and consistency of its offsets.
 * @param payload Payload of a log record.
 * @return The state, whose `next_offset` is the checkpoint's `covers`, or the reason why it must not be used.
 */
[[nodiscard]] result<config_state> load_checkpoint(std::string_view payload);

} // namespace kumquatdrift

#endif
