#ifndef KUMQUATDRIFT_CLAIMS_CHANNELS_HPP
#define KUMQUATDRIFT_CLAIMS_CHANNELS_HPP

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <claims.grpc.pb.h>

#include <kumquatdrift/core/time.hpp>

namespace kumquatdrift::internal {

/*! @brief Shared client stub of an owner; keeps its channel open while in use. */
using claim_stub = std::shared_ptr<claims::v1::Claims::Stub>;

/*! @brief A few channels to other owners. The one that was unused for longest makes room. Thread-safe. */
class claim_channels {
public:
    /**
     * @brief Constructs an empty pool.
     * @param limit Largest number of channels.
     */
    explicit claim_channels(std::size_t limit) noexcept;

    /**
     * @brief Returns the stub of an address.
     * @param address IP address and port.
     * @return The stub.
     */
    [[nodiscard]] claim_stub stub_of(const std::string& address);

private:
    struct open_channel {
        claim_stub stub{};
        timestamp used{};
    };

    std::size_t capacity;
    std::mutex mutex{};
    std::map<std::string, open_channel> channels{};
};

} // namespace kumquatdrift::internal

#endif
