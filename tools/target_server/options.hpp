#ifndef KUMQUATDRIFT_TARGET_SERVER_OPTIONS_HPP
#define KUMQUATDRIFT_TARGET_SERVER_OPTIONS_HPP

#include <cstdint>
#include <string>

#include <kumquatdrift/core/time.hpp>

namespace target_server {

/*! @brief Command line of the simulated target. */
struct options {
    /*! @brief Address to listen on, `IP:PORT`; port 0 selects a free port. */
    std::string listen{};
    /*! @brief Announced service. */
    std::string service{};
    /*! @brief Announced target id. */
    std::string id{};
    /*! @brief Requests executed concurrently. */
    std::uint32_t slots{};
    /*! @brief Base URL of the admin listener of the node; empty to announce nothing. */
    std::string announce{};
    /*! @brief Processing time of each request. */
    kumquatdrift::milliseconds work{};
    /*! @brief Time after the start during which the target is cold. */
    kumquatdrift::milliseconds cold{};
    /*! @brief Factor on the processing time while the target is cold. */
    std::uint32_t cold_factor{};
    /*! @brief Delay of the responses of the health and load endpoints. */
    kumquatdrift::milliseconds health_lag{};
    /*! @brief True if the health and load endpoints always report an idle and ready target. */
    bool lie{};
    /*! @brief True if requests beyond the slots are rejected, false if they are executed. */
    bool shed{};
    /*! @brief Time between the announcement of the drain and the close of the listener. */
    kumquatdrift::milliseconds drain_notice{};
    /*! @brief Largest number of connections. */
    std::uint32_t connections{};
};

/**
 * @brief Parses the command line; prints a message and exits on `--help` and on errors.
 * @param argc Number of arguments.
 * @param argv Arguments.
 * @return The options.
 */
[[nodiscard]] options parse_options(int argc, char** argv);

} // namespace target_server

#endif
