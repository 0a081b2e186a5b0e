#ifndef KUMQUATDRIFT_LOAD_GENERATOR_OPTIONS_HPP
#define KUMQUATDRIFT_LOAD_GENERATOR_OPTIONS_HPP

#include <cstdint>
#include <string>

#include <kumquatdrift/core/time.hpp>

namespace load_generator {

/*! @brief Command line of the load generator. */
struct options {
    /*! @brief Address to send the calls to, `IP:PORT`. */
    std::string address{};
    /*! @brief Value of the Host header. */
    std::string host{};
    /*! @brief Request target: path with query. */
    std::string path{};
    /*! @brief Request method. */
    std::string method{};
    /*! @brief Calls per second over all connections. */
    double rate{};
    /*! @brief Time during which calls are started. */
    kumquatdrift::milliseconds duration{};
    /*! @brief Keep-alive connections, each with its own thread; bounds the calls in flight. */
    std::uint32_t connections{};
    /*! @brief Size of the request body in bytes. */
    std::uint64_t body_bytes{};
    /*! @brief Header that carries an idempotency key; empty to send none. */
    std::string key_header{};
    /*! @brief Prefix of request ids and idempotency keys. */
    std::string id_prefix{};
    /*! @brief Socket timeout of each call. */
    kumquatdrift::milliseconds timeout{};
};

/**
 * @brief Parses the command line; prints a message and exits on `--help` and on errors.
 * @param argc Number of arguments.
 * @param argv Arguments.
 * @return The options.
 */
[[nodiscard]] options parse_options(int argc, char** argv);

} // namespace load_generator

#endif
