#ifndef KUMQUATDRIFT_SRC_CTL_TABLE_HPP
#define KUMQUATDRIFT_SRC_CTL_TABLE_HPP

#include <iosfwd>
#include <string>
#include <vector>

#include <Poco/Dynamic/Var.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

namespace kumquatdrift::internal {

/*! @brief Table with named columns. An empty cell is `-` in text and null in JSON. */
struct table {
    /*! @brief Column names in snake_case. They are the member names in JSON. */
    std::vector<std::string> columns{};
    /*! @brief Cells by row. */
    std::vector<std::vector<Poco::Dynamic::Var>> rows{};
};

/**
 * @brief Prints a table as text with aligned columns.
 * @param content The table.
 * @param out Output stream.
 */
void print_text(const table& content, std::ostream& out);

/**
 * @brief Converts a table to JSON.
 * @param content The table.
 * @return An array with one object for each row.
 */
[[nodiscard]] Poco::JSON::Array::Ptr to_json(const table& content);

/**
 * @brief Creates a JSON object that keeps its members in insertion order.
 * @return The object.
 */
[[nodiscard]] Poco::JSON::Object::Ptr make_object();

/**
 * @brief Prints an indented JSON object or array.
 * @param value The object or array.
 * @param out Output stream.
 */
void print_json(const Poco::Dynamic::Var& value, std::ostream& out);

} // namespace kumquatdrift::internal

#endif
