#ifndef KUMQUATDRIFT_SRC_CONFIG_DECODE_HPP
#define KUMQUATDRIFT_SRC_CONFIG_DECODE_HPP

#include <cstdint>
#include <string>
#include <string_view>

#include <kumquatdrift/config/records.hpp>

#include "json.hpp"

namespace kumquatdrift::internal {

/*! @brief Kind of a record, read from its envelope. */
enum class record_kind : std::uint8_t {
    /*! @brief An edit. */
    edit,
    /*! @brief A checkpoint. */
    checkpoint,
    /*! @brief A record of a newer format than this release reads. */
    newer_format,
    /*! @brief Not a record, or a record of an unknown kind. */
    invalid,
};

/*! @brief Kind of a record and its parsed JSON object. */
struct record_envelope {
    /*! @brief Kind of the record. */
    record_kind kind{record_kind::invalid};
    /*! @brief The record. Null if the payload is not a JSON object. */
    object_ptr object{};
    /*! @brief Reason why the kind is `newer_format` or `invalid`; empty otherwise. */
    std::string reason{};
};

/**
 * @brief Parses a record and determines its kind.
 * @param payload Payload of a log record.
 * @return The envelope.
 */
[[nodiscard]] record_envelope parse_record(std::string_view payload);

/**
 * @brief Decodes an edit.
 * @param record Object of an envelope of kind `edit`.
 * @return The edit, or the reason why it is invalid.
 */
[[nodiscard]] result<edit_record> decode_edit(const object_ptr& record);

/**
 * @brief Decodes and verifies a checkpoint.
 * @param record Object of an envelope of kind `checkpoint`.
 * @return The state, or the reason why it must not be used.
 */
[[nodiscard]] result<config_state> decode_checkpoint(const object_ptr& record);

/**
 * @brief Checks that the merge of the base with an overlay is valid.
 * @param base A base that is valid on its own.
 * @param name Document name of the overlay.
 * @param overlay An overlay that has passed `validate_overlay`.
 * @return An empty string, or the name of the document and the JSON pointer to the first error.
 */
[[nodiscard]] std::string check_overlay(const json_document& base, const std::string& name,
                                        const json_document& overlay);

/**
 * @brief Checks that there is a base and not too many overlays.
 * @param documents All documents.
 * @return An empty string, or the reason why the documents are invalid.
 */
[[nodiscard]] std::string check_document_set(const std::map<std::string, document_state>& documents);

/**
 * @brief Checks that the base on its own and its merge with every overlay are valid.
 * @param documents All documents. Overlays have passed `validate_overlay`.
 * @return An empty string, or the name of the document and the JSON pointer to the first error.
 */
[[nodiscard]] std::string check_documents(const std::map<std::string, document_state>& documents);

} // namespace kumquatdrift::internal

#endif
