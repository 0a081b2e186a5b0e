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

/*! @brief Shared client stub of an owner. Keeps its channel open as long as it is held. */
using claim_stub = std::shared_ptr<claims::v1::Claims::Stub>;

/*! @brief Bounded pool of channels to other owners with least-recently-used eviction. Thread-safe. */
class claim_channels {
public:
    /**
     * @brief Constructs an empty pool.
     * @param limit Largest number of channels.
     */
    explicit claim_channels(std::size_t limit) noexcept;

    /**
     * @brief Returns the stub for an address. Opens a channel if there is none.
     * @param address IP address and port.
     * @return The stub.
     */
    [[nodiscard]] claim_stub stub_of(const std::string& address);

private:
    struct open_channel {
        claim_stub stub{};
        timestamp last_used{};
    };

    std::size_t capacity;
    std::mutex mutex{};
    std::map<std::string, open_channel> channels{};
};

} // namespace kumquatdrift::internal

#endif
