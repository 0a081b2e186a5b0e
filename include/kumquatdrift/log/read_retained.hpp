#ifndef KUMQUATDRIFT_LOG_READ_RETAINED_HPP
#define KUMQUATDRIFT_LOG_READ_RETAINED_HPP

#include <cstddef>
#include <string_view>

#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/log/port.hpp>

namespace kumquatdrift {

/*! @brief Default number of records per page. */
inline constexpr std::size_t default_page_records = 500;

/**
 * @brief Reads all retained records of a stream, page by page.
 *
 * If records expire between two pages so that the result would have a gap, the read starts over. It fails
 * after three attempts.
 *
 * @param log Port to the log.
 * @param stream Name of the stream.
 * @param page_records Largest number of records per page.
 * @return The records without gaps; `bounds.earliest` is the offset of the first one and `bounds.end` the
 * offset after the last one. On failure, why the stream could not be read.
 */
[[nodiscard]] result<log_batch> read_retained(const log_port& log, std::string_view stream,
                                              std::size_t page_records = default_page_records);

} // namespace kumquatdrift

#endif
