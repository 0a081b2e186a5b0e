#ifndef KUMQUATDRIFT_SRC_CONFIG_JSON_HPP
#define KUMQUATDRIFT_SRC_CONFIG_JSON_HPP

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

#include <Poco/Dynamic/Var.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <kumquatdrift/config/document.hpp>
#include <kumquatdrift/core/result.hpp>

namespace kumquatdrift::internal {

/*! @brief Shared pointer to a POCO JSON object. */
using object_ptr = Poco::JSON::Object::Ptr;

/*! @brief Shared pointer to a POCO JSON array. */
using array_ptr = Poco::JSON::Array::Ptr;

/*! @brief Any POCO JSON value. */
using json_value = Poco::Dynamic::Var;

/*! @brief A parsed document. Trees share members; none is modified after its construction. */
struct json_tree {
    /**
     * @brief Takes over an object that nothing modifies any more.
     * @param parsed The object.
     */
    explicit json_tree(object_ptr parsed) : object{std::move(parsed)} {}

    /*! @brief Parsed form. Not null. */
    object_ptr object;

    /*! @brief Returns the canonical text, which is made when it is first needed. */
    [[nodiscard]] const std::string& text() const;

private:
    mutable std::once_flag made{};
    mutable std::string canonical{};
};

/*! @brief What to do with an object that names a member twice. */
enum class repeated_members : std::uint8_t {
    /*! @brief The last one counts. */
    last_one_counts,
    /*! @brief It is an error. For documents that people write. */
    error,
};

/**
 * @brief Parses the text of a JSON object.
 * @param text UTF-8 text.
 * @param repeated What to do with an object that names a member twice.
 * @return The object, or what is wrong with the text.
 */
[[nodiscard]] result<object_ptr> parse_object(std::string_view text, repeated_members repeated);

/**
 * @brief Formats a value in canonical form.
 * @param value The value.
 * @return The text.
 */
[[nodiscard]] std::string to_text(const json_value& value);

/**
 * @brief Makes a document of an object that nothing modifies any more.
 * @param object The object.
 * @return The document.
 */
[[nodiscard]] json_document to_document(object_ptr object);

/**
 * @brief Returns the object that a value holds.
 * @param value The value.
 * @return The object, or null if the value is of another type.
 */
[[nodiscard]] const object_ptr* as_object(const json_value& value) noexcept;

/**
 * @brief Returns the array that a value holds.
 * @param value The value.
 * @return The array, or null if the value is of another type.
 */
[[nodiscard]] const array_ptr* as_array(const json_value& value) noexcept;

/**
 * @brief Returns the string that a value holds.
 * @param value The value.
 * @return The string, or null if the value is of another type.
 */
[[nodiscard]] const std::string* as_string(const json_value& value) noexcept;

/**
 * @brief Applies a JSON merge patch to an object.
 * @param target The object; shared with the result where the patch changes nothing.
 * @param patch The patch.
 * @return The patched object.
 */
[[nodiscard]] object_ptr apply_patch(const object_ptr& target, const object_ptr& patch);

/**
 * @brief Appends a member name to a JSON pointer (RFC 6901).
 * @param pointer The pointer.
 * @param name Name of the member.
 */
void append_token(std::string& pointer, std::string_view name);

} // namespace kumquatdrift::internal

#endif
