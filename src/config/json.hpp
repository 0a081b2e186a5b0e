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

/*! @brief A parsed document. Trees may share members, so none is modified after construction. */
struct json_tree {
    /**
     * @brief Wraps an object.
     * @param parsed The object. Not null; must not be modified any more.
     */
    explicit json_tree(object_ptr parsed) : object{std::move(parsed)} {}

    /*! @brief The parsed object. Not null. */
    object_ptr object;

    /*! @brief Returns the canonical text, which is formatted on first use. Thread-safe. */
    [[nodiscard]] const std::string& text() const;

private:
    mutable std::once_flag formatted{};
    mutable std::string canonical_text{};
};

/*! @brief How the parser handles duplicate member names in an object. */
enum class duplicate_member_policy : std::uint8_t {
    /*! @brief Keep the last member. */
    keep_last,
    /*! @brief Report an error. For documents that are written by hand. */
    error,
};

/**
 * @brief Parses the text of a JSON object.
 * @param text UTF-8 text.
 * @param duplicates How to handle duplicate member names in an object.
 * @return The object, or the reason why the text is rejected.
 */
[[nodiscard]] result<object_ptr> parse_object(std::string_view text, duplicate_member_policy duplicates);

/**
 * @brief Formats a value as canonical text.
 * @param value The value.
 * @return The text.
 */
[[nodiscard]] std::string to_text(const json_value& value);

/**
 * @brief Makes a document of an object.
 * @param object The object. Must not be modified any more.
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
 * @brief Applies a JSON merge patch (RFC 7396) to an object.
 * @param target The object. The result shares the members that the patch leaves unchanged.
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
