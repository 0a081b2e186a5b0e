#ifndef KUMQUATDRIFT_CONFIG_DOCUMENT_HPP
#define KUMQUATDRIFT_CONFIG_DOCUMENT_HPP

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <kumquatdrift/config/fwd.hpp>
#include <kumquatdrift/config/types.hpp>
#include <kumquatdrift/core/result.hpp>

namespace kumquatdrift {

namespace internal {

struct json_tree;

} // namespace internal

/*! @brief Name of the base document. */
inline constexpr std::string_view base_document = "base";

/*! @brief Prefix of the names of overlay documents; the data centre follows. */
inline constexpr std::string_view overlay_prefix = "overlay/";

/*! @brief Largest size of a document, in bytes of canonical text. Bounds the memory that a fold needs. */
inline constexpr std::size_t max_document_bytes = 1024 * 1024;

/*! @brief Largest number of overlays. Bounds the cost of a base edit, which is validated against each
 * overlay. */
inline constexpr std::size_t max_overlays = 64;

/*! @brief Immutable JSON object in canonical form. Copies share the content and may be read concurrently. */
class json_document {
public:
    /*! @brief Constructs the empty object. */
    json_document();

    /**
     * @brief Wraps a parsed tree.
     * @param tree The tree. Not null; must not be modified any more.
     */
    explicit json_document(std::shared_ptr<const internal::json_tree> tree) noexcept;

    /**
     * @brief Parses JSON text. Line and block comments are ignored; duplicate member names in an object are
     * an error.
     * @param text UTF-8 text of a JSON object.
     * @return The document, or the reason why the text is rejected.
     */
    [[nodiscard]] static result<json_document> parse(std::string_view text);

    /**
     * @brief Returns the canonical text: members in byte order of their names, without white space.
     * @return The text.
     */
    [[nodiscard]] const std::string& text() const noexcept;

    /**
     * @brief Formats the document for reading.
     * @return Text with line breaks and an indentation of two spaces.
     */
    [[nodiscard]] std::string pretty() const;

    /**
     * @brief Returns the parsed form.
     * @return The tree, which must not be modified.
     */
    [[nodiscard]] const internal::json_tree& tree() const noexcept;

    /*! @brief Compares the canonical texts. */
    [[nodiscard]] friend bool operator==(const json_document& left, const json_document& right) noexcept
    {
        return left.shared_tree == right.shared_tree || left.text() == right.text();
    }

private:
    std::shared_ptr<const internal::json_tree> shared_tree;
};

/**
 * @brief Applies a JSON merge patch (RFC 7396).
 * @param target Document to patch.
 * @param patch The patch.
 * @return The patched document.
 */
[[nodiscard]] json_document merge_patch(const json_document& target, const json_document& patch);

/**
 * @brief Computes the smallest merge patch that turns one document into another.
 * @param from Document before.
 * @param to Document after.
 * @return The patch, or a reason if `to` has a null member, which a merge patch cannot set.
 */
[[nodiscard]] result<json_document> make_patch(const json_document& from, const json_document& to);

/**
 * @brief Returns the document name of the overlay of a data centre.
 * @param data_centre Name of the data centre.
 * @return The document name.
 */
[[nodiscard]] std::string overlay_name(std::string_view data_centre);

/**
 * @brief Returns the data centre of an overlay.
 * @param document Document name.
 * @return The data centre, or `std::nullopt` if the document is not an overlay.
 */
[[nodiscard]] std::optional<std::string> overlay_data_centre(std::string_view document);

/**
 * @brief Checks the name of a document.
 * @param document Document name.
 * @return The name, or a reason that states which names are accepted.
 */
[[nodiscard]] result<std::string> validate_document_name(std::string_view document);

/**
 * @brief Validates a complete configuration, such as a base or a merge of base and overlay.
 * @param document The configuration.
 * @return The typed configuration without version and data centre, or the JSON pointer to the first error and
 * what is accepted there.
 */
[[nodiscard]] result<effective_config> validate_config(const json_document& document);

/**
 * @brief Validates an overlay on its own: member names, types and ranges. A null value removes a member.
 * @param overlay The overlay.
 * @return The overlay, or the JSON pointer to the first error and what is accepted there.
 */
[[nodiscard]] result<json_document> validate_overlay(const json_document& overlay);

} // namespace kumquatdrift

#endif
