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

/*! @brief Creates the adapter to the platform, which runs on the event loop of the gateway. */
using platform_factory = std::function<std::unique_ptr<mesh_platform>(event_loop&, const gateway_settings&)>;

/**
 * @brief Runs a gateway until SIGTERM or SIGINT; drains it before it stops. SIGHUP reloads the settings.
 * @param settings Settings.
 * @param settings_path Settings file, reloaded when it changes.
 * @param make_platform Creates the adapter to the platform.
 * @param log Event log.
 * @return True after a regular shutdown, or the error that prevented the start.
 */
[[nodiscard]] result<bool> run_gateway(const gateway_settings& settings, const std::string& settings_path,
                                       const platform_factory& make_platform, event_log& log);

/**
 * @brief Reads a settings file.
 * @param path Path.
 * @return The settings, or the first error.
 */
[[nodiscard]] result<gateway_settings> load_gateway_settings(const std::string& path);

} // namespace kumquatdrift

#endif
