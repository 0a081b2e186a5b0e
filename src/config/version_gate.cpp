#include <kumquatdrift/config/version_gate.hpp>

#include <string>

namespace kumquatdrift {

result<config_version> version_gate::install(config_version version)
{
    if (version < this->floor()) {
        return failure{"version " + std::to_string(version) + " is below version " +
                       std::to_string(this->floor()) + ", which this node has held before"};
    }
    auto held = this->in_force();
    do {
        if (version <= held) {
            return failure{"version " + std::to_string(version) + " is not higher than version " +
                           std::to_string(held) + " in force"};
        }
    } while (!this->current.compare_exchange_weak(held, version));
    return version;
}

void version_gate::raise_floor(config_version version) noexcept
{
    auto before = this->floor();
    while (version > before && !this->lowest.compare_exchange_weak(before, version)) {}
}

config_version version_gate::in_force() const noexcept
{
    return this->current.load();
}

config_version version_gate::floor() const noexcept
{
    return this->lowest.load();
}

} // namespace kumquatdrift
