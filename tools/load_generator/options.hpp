#ifndef KUMQUATDRIFT_LOAD_GENERATOR_OPTIONS_HPP
#define KUMQUATDRIFT_LOAD_GENERATOR_OPTIONS_HPP

#include <cstdint>
#include <string>

#include <kumquatdrift/core/time.hpp>

namespace load_generator {

/*! @brief Command line of the load generator. */
struct options {
    /*! @brief IP address and port to call. */
    std::string address{};
    /*! @brief Host header. */
    std::string host{};
    /*! @brief Path with query. */
    std::string path{};
    /*! @brief Method. */
    std::string method{};
    /*! @brief Calls per second in all. */
    double rate{};
    /*! @brief Time of the run. */
    kumquatdrift::milliseconds duration{};
    /*! @brief Keep-alive connections, one thread each. */
    std::uint32_t connections{};
    /*! @brief Size of the request body in bytes. */
    std::uint64_t body_bytes{};
    /*! @brief Header for idempotency keys; empty for none. */
    std::string key_header{};
    /*! @brief Prefix of request ids and idempotency keys. */
    std::string id_prefix{};
    /*! @brief Time to wait for one answer. */
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
