#ifndef KUMQUATDRIFT_LOG_READ_RETAINED_HPP
#define KUMQUATDRIFT_LOG_READ_RETAINED_HPP

#include <cstddef>
#include <string_view>

#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/log/port.hpp>

namespace kumquatdrift {

/*! @brief Records per read of a whole stream. */
inline constexpr std::size_t default_read_page = 500;

/**
 * @brief Reads all retained records of a stream page by page.
 *
 * If records expire between two pages so that the result would have a gap, reading starts again, up to
 * three times.
 *
 * @param log Port to the log.
 * @param stream Name of the stream.
 * @param page Records per read.
 * @return The records without gaps; `bounds.earliest` is the offset of the first one and `bounds.end` the
 * offset after the last one. Or why the stream could not be read.
 */
[[nodiscard]] result<log_batch> read_retained(const log_port& log, std::string_view stream,
                                              std::size_t page = default_read_page);

} // namespace kumquatdrift

#endif
