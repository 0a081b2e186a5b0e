#ifndef KUMQUATDRIFT_SRC_LOG_HTTP_CLIENT_HPP
#define KUMQUATDRIFT_SRC_LOG_HTTP_CLIENT_HPP

#include <cstddef>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/core/time.hpp>
#include <kumquatdrift/core/verdict.hpp>

namespace kumquatdrift {

struct http_message;

} // namespace kumquatdrift

namespace kumquatdrift::internal {

/*! @brief HTTP response, with its complete body. */
struct http_response {
    /*! @brief Status code. */
    int status{};
    /*! @brief Value of `Retry-After`, empty if absent. */
    std::string retry_after{};
    /*! @brief Body. */
    std::string body{};
};

/*! @brief Result of sending a request. */
struct http_exchange {
    /*! @brief `ran` if a response was received, `not_run` if no connection was established, else
     * `may_have_run`. */
    verdict effect{verdict::not_run};
    /*! @brief The response. Valid only if `effect` is `ran`. */
    http_response response{};
    /*! @brief Why there is no response; empty if there is one. */
    std::string reason{};
    /*! @brief True if the request was sent on a reused connection. */
    bool reused{};
};

/*! @brief HTTP request. */
struct http_request {
    /*! @brief Method. */
    std::string method{"GET"};
    /*! @brief Path and query. */
    std::string path{"/"};
    /*! @brief Body of a POST. */
    std::string body{};
    /*! @brief Time that the server may delay the response for a long poll, in addition to the response
     * timeout. */
    milliseconds wait{0};
};

/*! @brief Limits of a client. */
struct http_client_limits {
    /*! @brief Longest time to establish a connection. */
    milliseconds connect_timeout{1'000};
    /*! @brief Longest time until the head of a response is complete, and again until its body is. */
    milliseconds response_timeout{3'000};
    /*! @brief Largest number of idle connections kept open. */
    std::size_t max_idle_connections{4};
    /*! @brief Time after which an idle connection is not reused. */
    milliseconds idle_timeout{5'000};
    /*! @brief Largest response body in bytes. */
    std::size_t max_response_bytes{64 * 1024 * 1024};
};

/**
 * @brief Parses the address of an HTTP service.
 * @param url `http://IP:PORT` or `IP:PORT`.
 * @return The address, or an error that names the accepted formats.
 */
[[nodiscard]] result<Poco::Net::SocketAddress> parse_service_address(const std::string& url);

/*! @brief HTTP/1.1 client of one service with persistent connections. Thread-safe. */
class http_client {
public:
    /**
     * @brief Constructs a client without connections.
     * @param service_address Address of the service.
     * @param client_limits Limits.
     */
    http_client(const Poco::Net::SocketAddress& service_address, http_client_limits client_limits);

    /**
     * @brief Sends a request once and waits for the response.
     * @param request The request.
     * @return The exchange.
     */
    [[nodiscard]] http_exchange send(const http_request& request);

    /**
     * @brief Sends a safe request (one without side effects). Retries it once if a reused connection turns
     * out to be closed.
     * @param request The request.
     * @return The exchange.
     */
    [[nodiscard]] http_exchange send_safe(const http_request& request);

private:
    struct connection {
        Poco::Net::StreamSocket socket{};
        timestamp last_used{};
        /*! @brief Received bytes that have not been parsed. */
        std::string input{};
        bool send_failed{};
    };

    [[nodiscard]] std::optional<connection> take_idle();
    [[nodiscard]] connection connect() const;
    void return_to_pool(connection idle_connection);
    void send_request(connection& used, const http_request& request) const;
    // Throws a Poco::Exception if there is no complete and valid response.
    [[nodiscard]] http_message receive_response(connection& used, milliseconds wait) const;
    // Returns false at the end of the stream.
    [[nodiscard]] static bool receive(connection& used, timestamp deadline);

    Poco::Net::SocketAddress address;
    http_client_limits limits;
    std::mutex mutex{};
    std::vector<connection> idle{};
};

} // namespace kumquatdrift::internal

#endif
