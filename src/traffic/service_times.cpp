#include <kumquatdrift/traffic/service_times.hpp>

namespace kumquatdrift {

microseconds moving_mean(microseconds mean, microseconds newest, double weight) noexcept
{
    if (mean.count() == 0) {
        return newest;
    }
    return microseconds{static_cast<microseconds::rep>(static_cast<double>(mean.count()) * (1.0 - weight) +
                                                       static_cast<double>(newest.count()) * weight)};
}

void service_times::observe(std::string_view route, microseconds service_time)
{
    if (service_time.count() <= 0) {
        return;
    }
    auto found = this->means.find(route);
    if (found == this->means.end()) {
        if (this->means.size() >= max_routes) {
            this->means.clear();
        }
        found = this->means.emplace(std::string{route}, microseconds{0}).first;
    }
    found->second = moving_mean(found->second, service_time, newest_weight);
}

microseconds service_times::expected(std::string_view route) const noexcept
{
    const auto found = this->means.find(route);
    return found != this->means.end() ? found->second : microseconds{0};
}

} // namespace kumquatdrift
