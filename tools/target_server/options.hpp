#ifndef KUMQUATDRIFT_TARGET_SERVER_OPTIONS_HPP
#define KUMQUATDRIFT_TARGET_SERVER_OPTIONS_HPP

#include <cstdint>
#include <string>

#include <kumquatdrift/core/time.hpp>

namespace target_server {

/*! @brief Command line of the simulated target. */
struct options {
    /*! @brief Address to listen on, `IP:PORT`; port 0 picks a free one. */
    std::string listen{};
    /*! @brief Service that is announced. */
    std::string service{};
    /*! @brief Id that is announced. */
    std::string id{};
    /*! @brief Requests that run at the same time. */
    std::uint32_t slots{};
    /*! @brief Base URL of the node's admin listener; empty for no announcements. */
    std::string announce{};
    /*! @brief Time that each request takes. */
    kumquatdrift::milliseconds work{};
    /*! @brief Time after the start in which the target is cold. */
    kumquatdrift::milliseconds cold{};
    /*! @brief Factor on the work time while the target is cold. */
    std::uint32_t cold_factor{};
    /*! @brief Delay of the answers of the health and load endpoints. */
    kumquatdrift::milliseconds health_lag{};
    /*! @brief True if the health and load endpoints always claim an idle, healthy target. */
    bool lie{};
    /*! @brief True if requests beyond the slots are refused rather than run. */
    bool shed{};
    /*! @brief Time between the announcement of the drain and the end of listening. */
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
