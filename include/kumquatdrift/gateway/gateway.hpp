#ifndef KUMQUATDRIFT_GATEWAY_GATEWAY_HPP
#define KUMQUATDRIFT_GATEWAY_GATEWAY_HPP

#include <functional>
#include <memory>
#include <string>

#include <kumquatdrift/core/result.hpp>
#include <kumquatdrift/gateway/fwd.hpp>
#include <kumquatdrift/gateway/platform.hpp>
#include <kumquatdrift/gateway/settings.hpp>
#include <kumquatdrift/telemetry/event_log.hpp>

namespace kumquatdrift {

/*! @brief Makes the port to the platform, on the event loop of the gateway. */
using platform_factory = std::function<std::unique_ptr<mesh_platform>(event_loop&, const gateway_settings&)>;

/**
 * @brief Runs a gateway until a signal ends it: SIGTERM drains, SIGHUP reads the settings again.
 * @param settings Settings.
 * @param settings_path File that is read again when it changes.
 * @param make_platform Makes the port to the platform.
 * @param log Log.
 * @return True after an orderly end, or why it could not start.
 */
[[nodiscard]] result<bool> run_gateway(const gateway_settings& settings, const std::string& settings_path,
                                       const platform_factory& make_platform, event_log& log);

/**
 * @brief Reads a settings file.
 * @param path Path.
 * @return The settings, or what is wrong.
 */
[[nodiscard]] result<gateway_settings> load_gateway_settings(const std::string& path);

} // namespace kumquatdrift

#endif
