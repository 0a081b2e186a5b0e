#ifndef KUMQUATDRIFT_TELEMETRY_LOG_LEVEL_HPP
#define KUMQUATDRIFT_TELEMETRY_LOG_LEVEL_HPP

#include <array>
#include <cstdint>
#include <string_view>
#include <utility>

#include <kumquatdrift/core/enum_names.hpp>
#include <kumquatdrift/telemetry/fwd.hpp>

namespace kumquatdrift {

/*! @brief Severity of a log line. */
enum class log_level : std::uint8_t {
    /*! @brief Details of individual requests and messages. */
    debug,
    /*! @brief Changes of state that an operator expects. */
    info,
    /*! @brief Conditions that the system handles but that an operator should know of. */
    warn,
    /*! @brief Conditions that require action by an operator. */
    error,
};

/*! @brief Names of the levels, as written in the settings. */
template<>
struct enum_names<log_level> {
    /*! @brief Pairs of enumerator and name. */
    static constexpr std::array<std::pair<log_level, std::string_view>, 4> table{{
        {log_level::debug, "debug"},
        {log_level::info, "info"},
        {log_level::warn, "warn"},
        {log_level::error, "error"},
    }};
};

} // namespace kumquatdrift

#endif
