#ifndef KUMQUATDRIFT_CONFIG_CHANGES_HPP
#define KUMQUATDRIFT_CONFIG_CHANGES_HPP

#include <optional>
#include <string>
#include <vector>

#include <kumquatdrift/config/document.hpp>

namespace kumquatdrift {

/*! @brief A difference between two documents. Unlike a merge patch it can show null members. */
struct document_change {
    /*! @brief JSON pointer to the member. */
    std::string place{};
    /*! @brief JSON text before, nothing if the member is new. */
    std::optional<std::string> before{};
    /*! @brief JSON text after, nothing if the member is removed. */
    std::optional<std::string> after{};

    /*! @brief Compares all members. */
    bool operator==(const document_change&) const = default;
};

/**
 * @brief Lists the differences between two documents.
 * @param from Document before.
 * @param to Document after.
 * @return Changes of members in order of their places. Arrays are compared as a whole.
 */
[[nodiscard]] std::vector<document_change> list_changes(const json_document& from, const json_document& to);

} // namespace kumquatdrift

#endif
