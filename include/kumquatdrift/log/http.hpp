#ifndef KUMQUATDRIFT_LOG_HTTP_HPP
#define KUMQUATDRIFT_LOG_HTTP_HPP

#include <cstddef>
#include <string>

#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/log/port.hpp>

namespace kumquatdrift {

/*! @brief Settings of the HTTP client of the log service. */
struct http_log_settings {
    /*! @brief Address of the log service: `http://IP:PORT` or `IP:PORT`. */
    std::string url{};
    /*! @brief Longest time to establish a connection. */
    milliseconds connect_timeout{1'000};
    /*! @brief Longest time until the head of a response is complete, in addition to the wait of a long poll,
     * and again until its body is. */
    milliseconds response_timeout{2'000};
    /*! @brief Largest number of idle connections kept open for reuse. */
    std::size_t max_idle_connections{4};
    /*! @brief Time after which an idle connection is not reused. Must be shorter than the idle timeout of the
     * service (15 s), or an append on a connection that the service closes would end as `may_have_run`. */
    milliseconds idle_timeout{5'000};
    /*! @brief Largest response body in bytes. */
    std::size_t max_response_bytes{64 * 1024 * 1024};
};

/**
 * @brief Creates a port to the log service over HTTP/1.1 with persistent connections. Opens no connection
 * yet.
 *
 * An append is `ran` if the service responded with status 201 and an offset, `not_run` if no connection was
 * established or the service rejected it (status 4xx or 503), and `may_have_run` otherwise. A read is retried
 * once if a reused connection turns out to be closed; an append is not, because it is not idempotent.
 *
 * @param settings Settings of the client.
 * @return The port, or why the settings are invalid.
 */
[[nodiscard]] result<log_port> make_http_log_port(const http_log_settings& settings);

} // namespace kumquatdrift

#endif
