#ifndef KUMQUATDRIFT_CONFIG_CHANGES_HPP
#define KUMQUATDRIFT_CONFIG_CHANGES_HPP

#include <optional>
#include <string>
#include <vector>

#include <kumquatdrift/config/document.hpp>

namespace kumquatdrift {

/*! @brief Difference of one member between two documents. Unlike a merge patch it can represent null. */
struct document_change {
    /*! @brief JSON pointer (RFC 6901) to the member. */
    std::string pointer{};
    /*! @brief JSON text of the old value, absent if the member was added. */
    std::optional<std::string> before{};
    /*! @brief JSON text of the new value, absent if the member was removed. */
    std::optional<std::string> after{};

    /*! @brief Compares all members. */
    bool operator==(const document_change&) const = default;
};

/**
 * @brief Lists the differences between two documents.
 * @param from Document before.
 * @param to Document after.
 * @return Changed members, depth first and sorted by name within each object. Arrays are compared as a whole.
 */
[[nodiscard]] std::vector<document_change> list_changes(const json_document& from, const json_document& to);

} // namespace kumquatdrift

#endif
