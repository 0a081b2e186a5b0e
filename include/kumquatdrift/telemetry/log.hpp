#ifndef KUMQUATDRIFT_TELEMETRY_LOG_HPP
#define KUMQUATDRIFT_TELEMETRY_LOG_HPP

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include <log4cxx/logger.h>

#include <kumquatdrift/core/enum_names.hpp>
#include <kumquatdrift/telemetry/fwd.hpp>
#include <kumquatdrift/telemetry/log_level.hpp>

namespace kumquatdrift {

/*! @brief Component that writes log lines. Its name is the prefix of its lines. */
enum class log_part : std::uint8_t {
    /*! @brief Configuration. */
    config,
    /*! @brief Client of the log service. */
    log,
    /*! @brief Membership. */
    member,
    /*! @brief Distribution. */
    relay,
    /*! @brief Routing. */
    route,
    /*! @brief Admission control. */
    admit,
    /*! @brief Claims. */
    claim,
    /*! @brief Proxy. */
    proxy,
    /*! @brief Daemon. */
    node,
};

/*! @brief Names of the components, used as prefixes. */
template<>
struct enum_names<log_part> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<log_part, std::string_view>, 9> table{{
        {log_part::config, "config"},
        {log_part::log, "log"},
        {log_part::member, "member"},
        {log_part::relay, "relay"},
        {log_part::route, "route"},
        {log_part::admit, "admit"},
        {log_part::claim, "claim"},
        {log_part::proxy, "proxy"},
        {log_part::node, "node"},
    }};
};

/**
 * @brief Configures logging to standard error as `TIME LEVEL part: message`. May be called again to change
 * the level.
 * @param level Lowest level that is written.
 */
void set_up_log(log_level level);

/*! @brief Logger of one component. Cheap to copy; thread-safe. */
class part_logger {
public:
    /**
     * @brief Constructs the logger of a component.
     * @param part The component.
     */
    explicit part_logger(log_part part);

    /**
     * @brief Checks whether a level is written, so that callers can avoid formatting lines that are not.
     * @param level Level of the line.
     * @return True if lines of this level are written.
     */
    [[nodiscard]] bool is_enabled(log_level level) const;

    /**
     * @brief Writes a line if its level is enabled.
     * @param level Level of the line.
     * @param message One short sentence, without prefix and newline.
     */
    void write(log_level level, const std::string& message) const;

private:
    log4cxx::LoggerPtr logger;
};

} // namespace kumquatdrift

#endif
