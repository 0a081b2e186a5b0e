#ifndef KUMQUATDRIFT_MESH_DOCUMENT_DELTA_HPP
#define KUMQUATDRIFT_MESH_DOCUMENT_DELTA_HPP

#include <cstddef>
#include <string>
#include <string_view>

#include <kumquatdrift/core/result.hpp>

namespace kumquatdrift {

/*! @brief Maximum size in bytes of a document that is decompressed. */
constexpr std::size_t max_document_bytes = 16'777'216;

/**
 * @brief Compresses a document with zstd, relative to another document.
 * @param document Document.
 * @param base Document that the receiver has; empty if there is none. What the two have in common costs only
 * a few bytes.
 * @return Compressed document, or the error of the library.
 */
[[nodiscard]] result<std::string> compress_document(std::string_view document, std::string_view base);

/**
 * @brief Restores a document from the result of `compress_document`.
 * @param compressed Compressed document.
 * @param base Document that was passed to `compress_document`.
 * @return Document, or the reason why it cannot be restored: malformed bytes, or a document that exceeds
 * `max_document_bytes`.
 */
[[nodiscard]] result<std::string> decompress_document(std::string_view compressed, std::string_view base);

} // namespace kumquatdrift

#endif
